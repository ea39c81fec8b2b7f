//! Figures of the real processes: `cargo bench --bench system`.
//!
//! Datagrams a second of one balancer on one core against a bare relay, latency added to a
//! request, and memory for open flows.
#![allow(clippy::cast_precision_loss)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    net::{SocketAddr, SocketAddrV4, UdpSocket},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bamboowind::{
    balancer::Balancer,
    demo::caller::Call,
    observe::{
        counters::{Counters, Event},
        log,
    },
    settings::{Role, Settings},
    wire::connection_id::{self, Epoch, Route},
};
use common::{AddressAllocator, SECRET_HEX, TestCluster, resident_kib};

const PACKET_LEN: usize = 1_200;
const SINKS: usize = 7;
const MEASURE: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
const LATENCY_CALLS: usize = 3_000;
const FLOW_COUNTS: [usize; 3] = [100, 300, 1_000];
const PASSING_FLOWS: u32 = 100_000;

fn main() {
    forwarding();
    let runtime = tokio::runtime::Runtime::new().expect("failed to build the runtime");
    runtime.block_on(latency());
    runtime.block_on(flow_memory());
}

/// Sends packets to `destination` from two threads for a while.
fn flood(destination: SocketAddr, packets: &[Vec<u8>]) {
    let is_over = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..2)
        .map(|_| {
            let (packets, is_over) = (packets.to_vec(), Arc::clone(&is_over));
            thread::spawn(move || {
                let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
                while !is_over.load(Ordering::Relaxed) {
                    for packet in &packets {
                        let _ = socket.send_to(packet, destination);
                    }
                }
            })
        })
        .collect();
    thread::sleep(MEASURE);
    is_over.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.join().expect("a sender");
    }
}

fn forwarding() {
    let mut addresses = AddressAllocator::new();
    let sinks: Vec<_> = (0..SINKS)
        .map(|_| UdpSocket::bind(addresses.allocate()).expect("a sink"))
        .collect();
    let targets: Vec<SocketAddr> = sinks
        .iter()
        .map(|sink| sink.local_addr().expect("an address"))
        .collect();
    let (outer, counters) = balancer_on_one_core(&mut addresses);
    let relay = addresses.allocate();
    let relayed = bare_relay(relay, targets.clone());
    for round in 1..=ROUNDS {
        let mixed = packets(&targets, 70);
        let single = packets(&targets[..1], 70);
        let forwarded = || counters.get(Event::PacketForwarded);
        let rate = |count: u64| count as f64 / MEASURE.as_secs_f64();
        let before = relayed.load(Ordering::Relaxed);
        flood(relay, &mixed);
        let bare = rate(relayed.load(Ordering::Relaxed) - before);
        let before = forwarded();
        flood(outer, &mixed);
        let spread = rate(forwarded() - before);
        let before = forwarded();
        flood(outer, &single);
        let one_agent = rate(forwarded() - before);
        println!(
            "round {round}: bare relay {bare:.0}/s, balancer to {SINKS} agents in turn {spread:.0}/s \
             (ratio {:.2}), to one agent {one_agent:.0}/s (ratio {:.2})",
            spread / bare,
            one_agent / bare,
        );
    }
    let before = resident_kib(std::process::id());
    let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
    for nonce in 0..PASSING_FLOWS {
        let packet = packet(&targets[0], nonce);
        let _ = socket.send_to(&packet, outer);
    }
    let after = resident_kib(std::process::id());
    println!("balancer: {before} KiB before and {after} KiB after {PASSING_FLOWS} flows passed");
}

/// Starts a balancer whose tasks share one thread.
fn balancer_on_one_core(addresses: &mut AddressAllocator) -> (SocketAddr, Counters) {
    let (inner, outer) = (addresses.allocate(), addresses.allocate());
    let text = format!(
        "name: bench\nfailure_domain: norte\ninner_address: {inner}\n\
         keys: {{current_phase: 1, phases: [{{phase: 1, secret_hex: \"{SECRET_HEX}\"}}]}}\n\
         balancer:\n  services:\n  - {{name: catalogo, number: 1, address: {outer}}}\n"
    );
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .expect("failed to build the runtime")
            .block_on(async move {
                let settings = Settings::parse(&text, Path::new(".")).expect("settings");
                let Role::Balancer(balancer) = &settings.role else {
                    panic!("not a balancer");
                };
                let balancer = Balancer::start(&settings, balancer, log::silent()).await;
                let balancer = balancer.expect("a balancer");
                sender
                    .send(balancer.counters().clone())
                    .expect("send failed");
                std::future::pending::<()>().await;
            });
    });
    (outer, receiver.recv().expect("counters"))
}

/// The plainest relay: receives a datagram and sends it on.
fn bare_relay(address: SocketAddr, targets: Vec<SocketAddr>) -> Arc<AtomicU64> {
    let relayed = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&relayed);
    thread::spawn(move || {
        let inner = UdpSocket::bind(address).expect("a relay");
        let outer = UdpSocket::bind("127.0.0.1:0").expect("a relay");
        let mut buffer = [0; 2_048];
        for target in targets.iter().cycle() {
            if let Ok((len, _)) = inner.recv_from(&mut buffer)
                && outer.send_to(&buffer[..len], target).is_ok()
            {
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    relayed
}

fn packet(target: &SocketAddr, nonce: u32) -> Vec<u8> {
    use bamboowind::wire::key_ring::{KeyRing, PhaseKeys};
    let SocketAddr::V4(agent) = *target else {
        panic!("not IPv4");
    };
    let ring = KeyRing::new(vec![PhaseKeys::new(1, &[7; 32])], 1).expect("invalid key ring");
    let agent: SocketAddrV4 = agent;
    let route = Route {
        agent,
        service: 1,
        epoch: Epoch::from_ms(1),
    };
    let mut packet = vec![0x40];
    packet.extend(connection_id::seal(&ring, &route, nonce));
    packet.resize(PACKET_LEN, 0);
    packet
}

fn packets(targets: &[SocketAddr], count: u32) -> Vec<Vec<u8>> {
    targets
        .iter()
        .cycle()
        .zip(0..count)
        .map(|(target, nonce)| packet(target, nonce))
        .collect()
}

async fn latency() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let call = Call::get("/listing?bytes=1000");
    let client = reqwest::Client::new();
    let url = format!("http://{}/listing?bytes=1000", cluster.targets[0].address());
    let (mut through, mut straight) = (Vec::new(), Vec::new());
    for _ in 0..LATENCY_CALLS {
        let started_at = Instant::now();
        caller.call(&call).await.expect("failed to get a response");
        through.push(started_at.elapsed());
        let started_at = Instant::now();
        let answer = client
            .get(&url)
            .send()
            .await
            .expect("failed to get a response");
        answer.bytes().await.expect("a body");
        straight.push(started_at.elapsed());
    }
    through.sort_unstable();
    straight.sort_unstable();
    let at = |sorted: &[Duration], percent: usize| {
        sorted[sorted.len() * percent / 100].as_secs_f64() * 1e6
    };
    for percent in [50, 99] {
        let (with, without) = (at(&through, percent), at(&straight, percent));
        println!(
            "1 kB request, p{percent}: {without:.0} us straight, {with:.0} us through balancer and \
             agent, {:.0} us added",
            with - without,
        );
    }
}

async fn flow_memory() {
    let mut cluster = TestCluster::start(1).await;
    let agent = cluster.add_target(0, "norte").await;
    cluster.wait_for_targets(1).await;
    let mut callers = Vec::new();
    let pid = cluster.agents[agent].pid();
    let mut before = (0, resident_kib(pid));
    for count in FLOW_COUNTS {
        while callers.len() < count {
            let caller = cluster.connect_caller(0).await;
            caller
                .call(&Call::get("/listing"))
                .await
                .expect("failed to get a response");
            callers.push(caller);
        }
        let now = (count, resident_kib(pid));
        let slope = (now.1 - before.1) as f64 / (now.0 - before.0) as f64;
        println!(
            "agent with {count} open flows: {} KiB, {slope:.1} KiB a flow more",
            now.1
        );
        before = now;
    }
}
