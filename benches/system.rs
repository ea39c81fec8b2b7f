//! End-to-end measurements: `cargo bench --bench system`.
//!
//! Measures the datagrams per second of a single-threaded balancer compared with a plain UDP relay,
//! the latency that balancer and agent add to a request, and the memory that an agent uses per open
//! flow.
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

/// Length of a forwarded packet in bytes.
const PACKET_LEN: usize = 1_200;
/// UDP sockets that take the place of agents; nothing reads from them.
const SINK_COUNT: usize = 7;
/// Duration of each throughput measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
const LATENCY_CALL_COUNT: usize = 3_000;
/// Open flows at which the memory of an agent is read.
const FLOW_COUNTS: [usize; 3] = [100, 300, 1_000];
/// Flows whose packets are sent through the balancer to show that it keeps no state for them.
const FORWARDED_FLOW_COUNT: u32 = 100_000;

fn main() {
    bench_forwarding();
    let runtime = tokio::runtime::Runtime::new().expect("failed to build the runtime");
    runtime.block_on(bench_latency());
    runtime.block_on(bench_flow_memory());
}

/// Sends packets to `destination` from two threads for [`MEASUREMENT_TIME`].
fn send_continuously(destination: SocketAddr, packets: &[Vec<u8>]) {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..2)
        .map(|_| {
            let (packets, is_stopped) = (packets.to_vec(), Arc::clone(&is_stopped));
            thread::spawn(move || {
                let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
                while !is_stopped.load(Ordering::Relaxed) {
                    for packet in &packets {
                        let _ = socket.send_to(packet, destination);
                    }
                }
            })
        })
        .collect();
    thread::sleep(MEASUREMENT_TIME);
    is_stopped.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.join().expect("sender thread panicked");
    }
}

/// Measures the throughput of a balancer and of a plain UDP relay, and the memory growth of the
/// balancer.
fn bench_forwarding() {
    let mut addresses = AddressAllocator::new();
    let sinks: Vec<_> = (0..SINK_COUNT)
        .map(|_| UdpSocket::bind(addresses.allocate()).expect("failed to bind a sink"))
        .collect();
    let sink_addresses: Vec<SocketAddr> = sinks
        .iter()
        .map(|sink| sink.local_addr().expect("failed to read the local address"))
        .collect();
    let (service_address, counters) = start_single_threaded_balancer(&mut addresses);
    let relay_address = addresses.allocate();
    let relayed_count = start_udp_relay(relay_address, sink_addresses.clone());
    for round in 1..=ROUNDS {
        let mixed = packets(&sink_addresses, 70);
        let single = packets(&sink_addresses[..1], 70);
        let forwarded_count = || counters.get(Event::PacketForwarded);
        let rate = |count: u64| count as f64 / MEASUREMENT_TIME.as_secs_f64();
        let before = relayed_count.load(Ordering::Relaxed);
        send_continuously(relay_address, &mixed);
        let relay_rate = rate(relayed_count.load(Ordering::Relaxed) - before);
        let before = forwarded_count();
        send_continuously(service_address, &mixed);
        let mixed_rate = rate(forwarded_count() - before);
        let before = forwarded_count();
        send_continuously(service_address, &single);
        let single_rate = rate(forwarded_count() - before);
        println!(
            "round {round}: UDP relay {relay_rate:.0}/s, balancer to {SINK_COUNT} agents in turn {mixed_rate:.0}/s \
             (ratio {:.2}), to one agent {single_rate:.0}/s (ratio {:.2})",
            mixed_rate / relay_rate,
            single_rate / relay_rate,
        );
    }
    let before = resident_kib(std::process::id());
    let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
    for nonce in 0..FORWARDED_FLOW_COUNT {
        let packet = packet(&sink_addresses[0], nonce);
        let _ = socket.send_to(&packet, service_address);
    }
    let after = resident_kib(std::process::id());
    println!(
        "balancer: {before} KiB before and {after} KiB after forwarding {FORWARDED_FLOW_COUNT} flows"
    );
}

/// Starts a balancer whose tasks share one thread; returns its service address and its counters.
fn start_single_threaded_balancer(addresses: &mut AddressAllocator) -> (SocketAddr, Counters) {
    let (inner, service_address) = (addresses.allocate(), addresses.allocate());
    let text = format!(
        "name: bench\nfailure_domain: norte\ninner_address: {inner}\n\
         keys: {{current_phase: 1, phases: [{{phase: 1, secret_hex: \"{SECRET_HEX}\"}}]}}\n\
         balancer:\n  services:\n  - {{name: catalogo, number: 1, address: {service_address}}}\n"
    );
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime
            .expect("failed to build the runtime")
            .block_on(async move {
                let settings = Settings::parse(&text, Path::new(".")).expect("invalid settings");
                let Role::Balancer(balancer) = &settings.role else {
                    panic!("settings are not those of a balancer");
                };
                let balancer = Balancer::start(&settings, balancer, log::discard_logger()).await;
                let balancer = balancer.expect("failed to start the balancer");
                sender
                    .send(balancer.counters().clone())
                    .expect("send failed");
                std::future::pending::<()>().await;
            });
    });
    (
        service_address,
        receiver.recv().expect("balancer thread exited"),
    )
}

/// Starts a relay that forwards each datagram to the next destination in turn; returns its counter
/// of forwarded datagrams.
fn start_udp_relay(address: SocketAddr, destinations: Vec<SocketAddr>) -> Arc<AtomicU64> {
    let relayed_count = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&relayed_count);
    thread::spawn(move || {
        let receive_socket = UdpSocket::bind(address).expect("failed to bind the relay");
        let send_socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind the relay");
        let mut buffer = [0; 2_048];
        for destination in destinations.iter().cycle() {
            if let Ok((len, _)) = receive_socket.recv_from(&mut buffer)
                && send_socket.send_to(&buffer[..len], destination).is_ok()
            {
                count.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    relayed_count
}

/// A QUIC short header packet whose connection ID routes to the agent with this address.
fn packet(agent_address: &SocketAddr, nonce: u32) -> Vec<u8> {
    use bamboowind::wire::key_ring::{KeyRing, PhaseKeys};
    let SocketAddr::V4(agent) = *agent_address else {
        panic!("agent address is not IPv4");
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

/// Packets of `count` flows to the agents in turn.
fn packets(agent_addresses: &[SocketAddr], count: u32) -> Vec<Vec<u8>> {
    agent_addresses
        .iter()
        .cycle()
        .zip(0..count)
        .map(|(agent, nonce)| packet(agent, nonce))
        .collect()
}

/// Compares the latency of requests through balancer and agent with that of direct requests.
async fn bench_latency() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let call = Call::get("/listing?bytes=1000");
    let client = reqwest::Client::new();
    let url = format!("http://{}/listing?bytes=1000", cluster.targets[0].address());
    let (mut balanced_times, mut direct_times) = (Vec::new(), Vec::new());
    for _ in 0..LATENCY_CALL_COUNT {
        let started_at = Instant::now();
        caller.call(&call).await.expect("failed to get a response");
        balanced_times.push(started_at.elapsed());
        let started_at = Instant::now();
        let response = client
            .get(&url)
            .send()
            .await
            .expect("failed to get a response");
        response.bytes().await.expect("failed to receive the body");
        direct_times.push(started_at.elapsed());
    }
    balanced_times.sort_unstable();
    direct_times.sort_unstable();
    let percentile_us = |sorted: &[Duration], percent: usize| {
        sorted[sorted.len() * percent / 100].as_secs_f64() * 1e6
    };
    for percent in [50, 99] {
        let (balanced_us, direct_us) = (
            percentile_us(&balanced_times, percent),
            percentile_us(&direct_times, percent),
        );
        println!(
            "1 kB request, p{percent}: {direct_us:.0} us direct, {balanced_us:.0} us through balancer and \
             agent, {:.0} us added",
            balanced_us - direct_us,
        );
    }
}

/// Measures the memory of an agent per open flow.
async fn bench_flow_memory() {
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
        let current = (count, resident_kib(pid));
        let kib_per_flow = (current.1 - before.1) as f64 / (current.0 - before.0) as f64;
        println!(
            "agent with {count} open flows: {} KiB, {kib_per_flow:.1} KiB per additional flow",
            current.1
        );
        before = current;
    }
}
