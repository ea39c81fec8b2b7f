//! A request goes end to end through separate processes, whichever balancer gets a packet.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use bamboowind::demo::caller::{Call, read_response};
use bytes::{Buf, Bytes};
use common::{Scene, echo, open_scan, resident_kib, wait_until};

const RECORDING_LEN: usize = 64 << 20;
/// What an agent may grow by while a recording passes, well below the recording itself.
const GROWTH_LIMIT_KIB: u64 = 16 << 10;

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_by_targets_of_their_own_service() {
    let scene = Scene::with_targets(3).await;
    for (index, service) in scene.services.iter().enumerate() {
        let caller = scene.caller(index).await;
        for _ in 0..20 {
            let answer = caller
                .call(&Call::get("/listing?bytes=20000"))
                .await
                .expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body.len(), 20_000);
            assert!(answer.body.starts_with(service.name.as_bytes()));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_balancer_forwards_packets_of_one_flow() {
    let scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    for _ in 0..50 {
        caller
            .call(&Call::get("/listing"))
            .await
            .expect("an answer");
    }
    for balancer in &scene.balancers {
        let events = scene.events(balancer).await;
        assert!(
            events.of("packet_forwarded") > 0,
            "{} forwarded nothing",
            balancer.name
        );
    }
    let retries: u64 = scene.total("retry_sent").await;
    assert!(
        (1..=3).contains(&retries),
        "{retries} retries for one connection"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_recording_is_streamed_and_never_held_in_memory() {
    let scene = Scene::with_targets(3).await;
    let caller = scene.caller(1).await;
    let before: Vec<_> = scene
        .agents
        .iter()
        .map(|agent| resident_kib(agent.pid()))
        .collect();
    let call = Call::get(format!("/recording?bytes={RECORDING_LEN}"));
    let mut stream = caller.open(&call).await.expect("a stream");
    stream.finish().await.expect("sent");
    stream.recv_response().await.expect("a head");
    // The caller reads nothing for a while: the target must be held back.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let handed_over: u64 = scene
        .targets
        .iter()
        .map(|target| target.stats().streamed_bytes.load(Ordering::Relaxed))
        .sum();
    assert!(
        handed_over < 32 << 20,
        "{handed_over} bytes while the caller reads nothing"
    );
    let mut received = 0;
    while let Some(mut data) = stream.recv_data().await.expect("data") {
        received += data.remaining();
        data.advance(data.remaining());
    }
    assert_eq!(received, RECORDING_LEN);
    for (agent, before) in scene.agents.iter().zip(before) {
        let growth = resident_kib(agent.pid()).saturating_sub(before);
        assert!(
            growth < GROWTH_LIMIT_KIB,
            "{} grew by {growth} KiB",
            agent.name
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_scanner_stream_carries_data_both_ways() {
    let scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    let mut stream = caller
        .open(&Call::post("/scan", Bytes::new()))
        .await
        .expect("a stream");
    stream
        .send_data(Bytes::from_static(b"first "))
        .await
        .expect("sent");
    let head = stream.recv_response().await.expect("a head");
    assert_eq!(head.status(), 200);
    for number in 0..20 {
        let piece = format!("scan {number};");
        stream.send_data(piece.clone().into()).await.expect("sent");
        let mut echoed = Vec::new();
        while !echoed.ends_with(piece.as_bytes()) {
            let mut data = stream.recv_data().await.expect("data").expect("more");
            echoed.extend_from_slice(&data.copy_to_bytes(data.remaining()));
        }
    }
    stream.finish().await.expect("sent");
    assert!(stream.recv_data().await.expect("the end").is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_the_replacement_of_every_balancer() {
    let mut scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    let mut stream = open_scan(&caller).await;
    for index in 0..3 {
        let others: Vec<_> = (0..3).filter(|&other| other != index).collect();
        scene.route_through(&others);
        scene.balancers[index].signal("-TERM");
        assert_eq!(scene.balancers[index].wait().await, Some(0));
        scene.balancers[index].start();
        // Only the balancer that has just started carries the flow.
        wait_until("the balancer is up", || async {
            !scene.status(&scene.balancers[index]).await.is_null()
        })
        .await;
        scene.route_through(&[index]);
        echo(&mut stream).await;
    }
    stream.finish().await.expect("sent");
    assert!(stream.recv_data().await.expect("the end").is_none());
    assert!(caller.is_open());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_agent_finishes_what_runs_and_takes_nothing_new() {
    let mut scene = Scene::start(2).await;
    let agent = scene.add_target(0, "norte").await;
    scene.ready(1).await;
    let caller = scene.caller(0).await;
    let mut stream = caller
        .open(&Call::get("/listing?work_ms=1500"))
        .await
        .expect("a stream");
    stream.finish().await.expect("sent");
    tokio::time::sleep(Duration::from_millis(300)).await;
    scene.agents[agent].signal("-TERM");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refused = caller.call(&Call::get("/listing")).await;
    assert!(
        refused.is_err(),
        "a draining agent took a request: {refused:?}"
    );
    let answer = read_response(&mut stream).await.expect("the whole answer");
    assert_eq!(answer.status, 200);
    assert_eq!(scene.agents[agent].wait().await, Some(0));
    assert_eq!(scene.targets[0].stats().runs.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_request_is_cancelled_on_the_target() {
    let scene = Scene::with_targets(2).await;
    let caller = scene.caller(0).await;
    let call = Call::get("/recording?bytes=100000000&work_ms=20");
    let mut stream = caller.open(&call).await.expect("a stream");
    stream.finish().await.expect("sent");
    stream.recv_response().await.expect("a head");
    stream.stop_sending(h3::error::Code::H3_REQUEST_CANCELLED);
    wait_until("the agent notices", || async {
        scene.agent_total("request_cancelled").await == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_refuse_hang_or_send_rubbish_get_an_honest_answer() {
    let mut scene = Scene::start(2).await;
    let faulty = FaultyTarget::start().await;
    scene.add_agent(0, "norte", faulty.address);
    scene.ready(1).await;
    scene.run(&["policy", "set", "response_timeout_ms=300"]);
    scene.policy_in_force(1).await;
    let caller = scene.caller(0).await;
    for (path, status, outcome) in [
        ("/rubbish", 502, "outcome-unknown"),
        ("/close", 502, "outcome-unknown"),
        ("/hang", 504, "outcome-unknown"),
    ] {
        let answer = caller.call(&Call::get(path)).await.expect("an answer");
        assert_eq!(
            (answer.status.as_u16(), answer.outcome()),
            (status, Some(outcome)),
            "{path}"
        );
    }
    let cut = caller.call(&Call::get("/half")).await;
    assert!(
        cut.is_err(),
        "half an answer was taken for a whole one: {cut:?}"
    );
    drop(faulty);
    wait_until("the target's port is closed", || async {
        let answer = caller
            .call(&Call::get("/listing"))
            .await
            .expect("an answer");
        answer.status == 503 && answer.outcome() == Some("not-run")
    })
    .await;
}

/// A target that answers by its path: not at all, with rubbish, or by half.
struct FaultyTarget {
    address: std::net::SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl FaultyTarget {
    async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("address");
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_badly(stream));
            }
        });
        Self { address, task }
    }
}

impl Drop for FaultyTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer_badly(mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut head = vec![0; 4096];
    let len = stream.read(&mut head).await.unwrap_or_default();
    let head = String::from_utf8_lossy(&head[..len]).into_owned();
    let path = head.split(' ').nth(1).unwrap_or_default();
    match path {
        "/rubbish" => drop(stream.write_all(b"\x00\x01 nonsense \r\n\r\n").await),
        "/hang" => std::future::pending().await,
        "/half" => {
            let half = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nonly this much";
            drop(stream.write_all(half).await);
            drop(stream.flush().await);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        _ => {}
    }
}
