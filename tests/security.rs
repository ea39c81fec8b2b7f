//! Keys rotate without breaking a flow; forged, cut, repeated and oversized datagrams change nothing.

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
use common::{Scene, echo, open_scan, resident_kib, wait_until};
use rand::{Rng, RngCore, SeedableRng, rngs::StdRng};

const JUNK_DATAGRAMS: usize = 20_000;
const MAX_JUNK_LEN: usize = 9_000;
const GROWTH_LIMIT_KIB: u64 = 16 << 10;
const OLD_PHASE: &str = "{phase: 1, secret_file: secret.hex}";
const NEW_PHASE: &str =
    "{phase: 2, secret_hex: \"0909090909090909090909090909090909090909090909090909090909090909\"}";

/// Puts a key ring in force everywhere by a signal to each process.
async fn rotate(scene: &Scene, current_phase: u8, phases: &[&str]) {
    let keys = format!(
        "keys: {{current_phase: {current_phase}, phases: [{}]}}",
        phases.join(", ")
    );
    for process in scene.balancers.iter().chain(&scene.agents) {
        let text = std::fs::read_to_string(&process.settings).expect("settings");
        let lines = text.lines().map(|line| {
            if line.starts_with("keys:") {
                &keys
            } else {
                line
            }
        });
        let fresh: Vec<&str> = lines.collect();
        std::fs::write(&process.settings, fresh.join("\n")).expect("write");
        let reloads = process
            .log_text()
            .matches("keys and certificate reloaded")
            .count();
        process.signal("-HUP");
        wait_until("the keys are reloaded", || async {
            process
                .log_text()
                .matches("keys and certificate reloaded")
                .count()
                > reloads
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rotation_of_keys_breaks_no_flow() {
    let scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    let mut stream = open_scan(&caller).await;
    for (current_phase, phases) in [(1, [OLD_PHASE, NEW_PHASE]), (2, [OLD_PHASE, NEW_PHASE])] {
        rotate(&scene, current_phase, &phases).await;
        echo(&mut stream).await;
        let newcomer = scene.caller(0).await;
        let answer = newcomer
            .call(&Call::get("/listing"))
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert!(caller.is_open());
    rotate(&scene, 2, &[NEW_PHASE]).await;
    let newcomer = scene.caller(0).await;
    let answer = newcomer
        .call(&Call::get("/listing"))
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn junk_is_counted_and_dropped_without_growth() {
    let scene = Scene::with_targets(2).await;
    let caller = scene.caller(0).await;
    caller
        .call(&Call::get("/listing"))
        .await
        .expect("an answer");
    let balancer = &scene.balancers[0];
    let agent = &scene.agents[0];
    let before = [resident_kib(balancer.pid()), resident_kib(agent.pid())];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut random = StdRng::seed_from_u64(7);
    let outer = scene.outer_address(0, 0);
    for number in 0..JUNK_DATAGRAMS {
        let mut junk = vec![0; random.random_range(0..MAX_JUNK_LEN)];
        random.fill_bytes(&mut junk);
        let destination = [balancer.inner, agent.inner, outer][number % 3];
        let _ = socket.send_to(&junk, destination);
    }
    caller
        .call(&Call::get("/listing"))
        .await
        .expect("an answer");
    let after = [resident_kib(balancer.pid()), resident_kib(agent.pid())];
    for (before, after) in before.iter().zip(after) {
        assert!(
            after < before + GROWTH_LIMIT_KIB,
            "grew from {before} to {after} KiB"
        );
    }
    let events = scene.events(balancer).await;
    assert!(events.of("dropped_not_authentic") > 0);
    assert!(events.of("dropped_unroutable") + events.of("dropped_malformed") > 0);
    assert!(scene.events(agent).await.of("dropped_not_authentic") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_or_foreign_control_message_changes_nothing() {
    let scene = Scene::with_targets(2).await;
    let agent = &scene.agents[0];
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
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
        let ring = KeyRing::new(vec![PhaseKeys::new(1, &[secret; 32])], 1).expect("a ring");
        let mut datagram = Vec::new();
        envelope::seal_into(ring.current(), &header, &[&payload], &mut datagram);
        datagram
    };
    socket.send_to(&seal(8), agent.inner).expect("sent");
    wait_until("the foreign order is dropped", || async {
        scene.events(agent).await.of("dropped_not_authentic") == 1
    })
    .await;
    scene.ready(6).await;
    // The right key is obeyed once; the repeat is dropped.
    socket.send_to(&seal(7), agent.inner).expect("sent");
    scene.ready(5).await;
    socket.send_to(&seal(7), agent.inner).expect("sent");
    wait_until("the repeat is dropped", || async {
        scene.events(agent).await.of("dropped_replayed") == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_upload_is_told_so_before_it_is_read() {
    let scene = Scene::with_targets(2).await;
    let caller = scene.caller(0).await;
    let call = Call::post("/report", vec![b'x'; 8 << 20]).with_header("idempotency-key", "none");
    let answer = caller.call(&call).await.expect("an answer");
    assert_eq!(
        (answer.status.as_u16(), answer.outcome()),
        (400, Some("not-run"))
    );
}

/// The first packets of flows that nobody goes on with.
fn first_packets(scene: &Scene, count: usize) -> Vec<Vec<u8>> {
    let roots = Arc::new(scene.certificate.roots());
    let config = quinn::ClientConfig::with_root_certificates(roots).expect("a configuration");
    let mut endpoint = quinn_proto::Endpoint::new(Arc::default(), None, true, None);
    let service = scene.services[0].fabric.service_address();
    let packets = (0..count).map(|_| {
        let now = Instant::now();
        let connecting = endpoint.connect(now, config.clone(), service, SERVER_NAME);
        let (_, mut connection) = connecting.expect("a connection");
        let mut packet = Vec::new();
        let transmit = connection
            .poll_transmit(now, 1, &mut packet)
            .expect("a packet");
        packet.truncate(transmit.size);
        packet
    });
    packets.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_first_packets_does_not_silence_the_agents() {
    let scene = Scene::with_targets(1).await;
    let caller = scene.caller(0).await;
    let outer = scene.outer_address(0, 0);
    let packets = Arc::new(first_packets(&scene, 100));
    let flood = move || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(4) {
            for packet in packets.iter() {
                let _ = socket.send_to(packet, outer);
            }
        }
    };
    let floods: Vec<_> = (0..3)
        .map(|_| tokio::task::spawn_blocking(flood.clone()))
        .collect();
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let agent = scene.status(&scene.agents[0]).await;
    let answer = caller
        .call(&Call::get("/listing"))
        .await
        .expect("an answer");
    for flood in floods {
        flood.await.expect("a flood");
    }
    assert_eq!(answer.status, 200);
    let balancers = agent["balancers"].as_array().cloned().unwrap_or_default();
    assert_eq!(
        balancers.len(),
        1,
        "the agent hears no balancer during the flood"
    );
    assert!(
        scene
            .events(&scene.balancers[0])
            .await
            .of("dropped_overload")
            > 0
    );
}
