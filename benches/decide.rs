//! Time of the operations that a balancer performs for each datagram: `cargo bench --bench decide`.

use std::hint::black_box;

use bamboowind::{
    balancer::route::decide_datagram,
    wire::{
        connection_id::{self, Epoch, Route},
        envelope::{self, BodyKind, Header},
        key_ring::{KeyRing, PhaseKeys},
        replay::ReplayFilter,
    },
};
use criterion::{Criterion, criterion_group, criterion_main};

/// Length of the forwarded packet in bytes.
const PACKET_LEN: usize = 1_200;

fn key_ring() -> KeyRing {
    let phases = vec![PhaseKeys::new(1, &[7; 32]), PhaseKeys::new(2, &[9; 32])];
    KeyRing::new(phases, 2).expect("invalid key ring")
}

fn route() -> Route {
    Route {
        agent: "10.0.0.7:7000".parse().expect("invalid address"),
        service: 3,
        epoch: Epoch::from_ms(1_764_800_000_000),
    }
}

fn bench_datagram_operations(criterion: &mut Criterion) {
    let ring = key_ring();
    let id = connection_id::seal(&ring, &route(), 99);
    let mut packet = vec![0x40];
    packet.extend(id);
    packet.resize(PACKET_LEN, 0);
    criterion.bench_function("connection id: open and check", |bencher| {
        bencher.iter(|| connection_id::open(black_box(&ring), black_box(&id)));
    });
    criterion.bench_function("datagram: decide", |bencher| {
        bencher.iter(|| decide_datagram(black_box(&ring), 3, black_box(&packet)));
    });
    let header = Header {
        kind: BodyKind::Forward,
        service: 3,
        sender: 1,
        sequence: 1,
    };
    let mut sealed = Vec::with_capacity(2 * PACKET_LEN);
    criterion.bench_function("envelope: seal 1200 bytes", |bencher| {
        bencher.iter(|| {
            sealed.clear();
            envelope::seal_into(ring.current(), black_box(&header), &[&packet], &mut sealed);
        });
    });
    criterion.bench_function("envelope: open 1200 bytes", |bencher| {
        bencher.iter(|| envelope::open(black_box(&ring), black_box(&sealed)).is_ok());
    });
    let mut replay_filter = ReplayFilter::new(4_096);
    let mut sequence = 0;
    for sender in 0..4_096 {
        replay_filter.accept(sender, 1);
    }
    criterion.bench_function("replay: check among 4096 senders", |bencher| {
        bencher.iter(|| {
            sequence += 1;
            replay_filter.accept(black_box(77), sequence)
        });
    });
}

criterion_group!(benches, bench_datagram_operations);
criterion_main!(benches);
