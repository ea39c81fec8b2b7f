//! Key rotation keeps flows open; forged and replayed datagrams, refused uploads and
//! floods of first packets do no harm.

mod common;

use std::{
    net::UdpSocket,
    sync::Arc,
    time::{Duration, Instant},
};

use bamboowind::{
    demo::{caller::Call, certificate::SERVER_NAME},
    wire::{
        envelope::{self, BodyKind, Header},
        key_ring::{KeyRing, PhaseKeys},
    },
};
use common::{TestCluster, echo, open_echo_stream, resident_kib, wait_until};
use rand::{Rng, RngCore, SeedableRng, rngs::StdRng};

const RANDOM_DATAGRAM_COUNT: usize = 20_000;
const MAX_RANDOM_DATAGRAM_LEN: usize = 9_000;
const MAX_GROWTH_KIB: u64 = 16 << 10;
const OLD_KEY_PHASE: &str = "{phase: 1, secret_file: secret.hex}";
const NEW_KEY_PHASE: &str =
    "{phase: 2, secret_hex: \"0909090909090909090909090909090909090909090909090909090909090909\"}";

/// Writes a key ring to the settings of every process and reloads them with SIGHUP.
async fn rotate_keys(cluster: &TestCluster, current_phase: u8, phases: &[&str]) {
    let keys = format!(
        "keys: {{current_phase: {current_phase}, phases: [{}]}}",
        phases.join(", ")
    );
    for process in cluster.balancers.iter().chain(&cluster.agents) {
        let text =
            std::fs::read_to_string(&process.settings_path).expect("failed to read the settings");
        let lines = text.lines().map(|line| {
            if line.starts_with("keys:") {
                &keys
            } else {
                line
            }
        });
        let updated: Vec<&str> = lines.collect();
        std::fs::write(&process.settings_path, updated.join("\n")).expect("write failed");
        let reload_count = process
            .log_text()
            .matches("keys and certificate reloaded")
            .count();
        process.signal("-HUP");
        wait_until("the keys are reloaded", || async {
            process
                .log_text()
                .matches("keys and certificate reloaded")
                .count()
                > reload_count
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_rotation_keeps_flows_open() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let mut stream = open_echo_stream(&caller).await;
    for (current_phase, phases) in [
        (1, [OLD_KEY_PHASE, NEW_KEY_PHASE]),
        (2, [OLD_KEY_PHASE, NEW_KEY_PHASE]),
    ] {
        rotate_keys(&cluster, current_phase, &phases).await;
        echo(&mut stream).await;
        let new_caller = cluster.connect_caller(0).await;
        let response = new_caller
            .call(&Call::get("/listing"))
            .await
            .expect("failed to get a response");
        assert_eq!(response.status, 200);
    }
    assert!(caller.is_open());
    rotate_keys(&cluster, 2, &[NEW_KEY_PHASE]).await;
    let new_caller = cluster.connect_caller(0).await;
    let response = new_caller
        .call(&Call::get("/listing"))
        .await
        .expect("failed to get a response");
    assert_eq!(response.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn random_datagrams_are_counted_and_dropped_without_memory_growth() {
    let cluster = TestCluster::with_targets(2).await;
    let caller = cluster.connect_caller(0).await;
    caller
        .call(&Call::get("/listing"))
        .await
        .expect("failed to get a response");
    let balancer = &cluster.balancers[0];
    let agent = &cluster.agents[0];
    let before = [resident_kib(balancer.pid()), resident_kib(agent.pid())];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
    let mut random = StdRng::seed_from_u64(7);
    let service_address = cluster.service_address(0, 0);
    for number in 0..RANDOM_DATAGRAM_COUNT {
        let mut datagram = vec![0; random.random_range(0..MAX_RANDOM_DATAGRAM_LEN)];
        random.fill_bytes(&mut datagram);
        let destination =
            [balancer.inner_address, agent.inner_address, service_address][number % 3];
        let _ = socket.send_to(&datagram, destination);
    }
    caller
        .call(&Call::get("/listing"))
        .await
        .expect("failed to get a response");
    let after = [resident_kib(balancer.pid()), resident_kib(agent.pid())];
    for (before, after) in before.iter().zip(after) {
        assert!(
            after < before + MAX_GROWTH_KIB,
            "memory grew from {before} to {after} KiB"
        );
    }
    let events = cluster.events(balancer).await;
    assert!(events.count("dropped_not_authentic") > 0);
    assert!(events.count("dropped_unroutable") + events.count("dropped_malformed") > 0);
    assert!(cluster.events(agent).await.count("dropped_not_authentic") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_or_replayed_control_message_is_dropped() {
    let cluster = TestCluster::with_targets(2).await;
    let agent = &cluster.agents[0];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
    let order = bamboowind::proto::control::Control {
        body: Some(bamboowind::proto::control::control::Body::DrainOrder(
            bamboowind::proto::control::DrainOrder {
                name: agent.name.clone(),
                drain: true,
            },
        )),
    };
    let payload = prost::Message::encode_to_vec(&order);
    let header = Header {
        kind: BodyKind::Control,
        service: 0,
        sender: 1,
        sequence: 1,
    };
    let seal = |secret: u8| {
        let ring =
            KeyRing::new(vec![PhaseKeys::new(1, &[secret; 32])], 1).expect("invalid key ring");
        let mut datagram = Vec::new();
        envelope::seal_into(ring.current(), &header, &[&payload], &mut datagram);
        datagram
    };
    socket
        .send_to(&seal(8), agent.inner_address)
        .expect("send failed");
    wait_until("the forged order is dropped", || async {
        cluster.events(agent).await.count("dropped_not_authentic") == 1
    })
    .await;
    cluster.wait_for_targets(6).await;
    // The agent obeys the order under the right key once and drops the replay.
    socket
        .send_to(&seal(7), agent.inner_address)
        .expect("send failed");
    cluster.wait_for_targets(5).await;
    socket
        .send_to(&seal(7), agent.inner_address)
        .expect("send failed");
    wait_until("the replayed order is dropped", || async {
        cluster.events(agent).await.count("dropped_replayed") == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn upload_is_refused_before_its_body_is_read() {
    let cluster = TestCluster::with_targets(2).await;
    let caller = cluster.connect_caller(0).await;
    let call = Call::post("/report", vec![b'x'; 8 << 20]).with_header("idempotency-key", "none");
    let response = caller.call(&call).await.expect("failed to get a response");
    assert_eq!(
        (response.status.as_u16(), response.outcome()),
        (400, Some("not-run"))
    );
}

/// Valid first packets of `count` flows; no flow sends a second packet.
fn first_packets(cluster: &TestCluster, count: usize) -> Vec<Vec<u8>> {
    let roots = Arc::new(cluster.certificate.roots());
    let config =
        quinn::ClientConfig::with_root_certificates(roots).expect("invalid client configuration");
    let mut endpoint = quinn_proto::Endpoint::new(Arc::default(), None, true, None);
    let service = cluster.services[0].fabric.service_address();
    let packets = (0..count).map(|_| {
        let now = Instant::now();
        let connecting = endpoint.connect(now, config.clone(), service, SERVER_NAME);
        let (_, mut connection) = connecting.expect("failed to start a connection");
        let mut packet = Vec::new();
        let transmit = connection
            .poll_transmit(now, 1, &mut packet)
            .expect("connection has no packet to send");
        packet.truncate(transmit.size);
        packet
    });
    packets.collect()
}

// Guards against a small mailbox that first packets share with announcements: a flood of first
// packets then leaves no room for the announcements of the agents.
#[tokio::test(flavor = "multi_thread")]
async fn agents_stay_connected_during_a_flood_of_first_packets() {
    let cluster = TestCluster::with_targets(1).await;
    let caller = cluster.connect_caller(0).await;
    let service_address = cluster.service_address(0, 0);
    let packets = Arc::new(first_packets(&cluster, 100));
    let flood = move || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(4) {
            for packet in packets.iter() {
                let _ = socket.send_to(packet, service_address);
            }
        }
    };
    let floods: Vec<_> = (0..3)
        .map(|_| tokio::task::spawn_blocking(flood.clone()))
        .collect();
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let agent = cluster.status(&cluster.agents[0]).await;
    let response = caller
        .call(&Call::get("/listing"))
        .await
        .expect("failed to get a response");
    for flood in floods {
        flood.await.expect("flood task panicked");
    }
    assert_eq!(response.status, 200);
    let balancers = agent["balancers"].as_array().cloned().unwrap_or_default();
    assert_eq!(
        balancers.len(),
        1,
        "the agent must hear from the balancer during the flood"
    );
    assert!(
        cluster
            .events(&cluster.balancers[0])
            .await
            .count("dropped_overload")
            > 0
    );
}
