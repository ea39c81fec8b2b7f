//! End-to-end requests through separate processes: forwarding, streaming, planned restarts and
//! faulty targets.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use bamboowind::demo::caller::{Call, read_response};
use bytes::{Buf, Bytes};
use common::{TestCluster, echo, open_echo_stream, resident_kib, wait_until};

const RECORDING_LEN: usize = 64 << 20;
/// Limit for the memory growth of an agent during a transfer; well below the size of the recording.
const MAX_GROWTH_KIB: u64 = 16 << 10;

#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_targets_of_their_service() {
    let cluster = TestCluster::with_targets(3).await;
    for (index, service) in cluster.services.iter().enumerate() {
        let caller = cluster.connect_caller(index).await;
        for _ in 0..20 {
            let response = caller
                .call(&Call::get("/listing?bytes=20000"))
                .await
                .expect("failed to get a response");
            assert_eq!(response.status, 200);
            assert_eq!(response.body.len(), 20_000);
            assert!(response.body.starts_with(service.name.as_bytes()));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_balancer_forwards_packets_of_one_flow() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    for _ in 0..50 {
        caller
            .call(&Call::get("/listing"))
            .await
            .expect("failed to get a response");
    }
    for balancer in &cluster.balancers {
        let events = cluster.events(balancer).await;
        assert!(
            events.count("packet_forwarded") > 0,
            "{} forwarded nothing",
            balancer.name
        );
    }
    let retries: u64 = cluster.balancer_event_count("retry_sent").await;
    assert!(
        (1..=3).contains(&retries),
        "{retries} Retry packets for one connection"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn large_response_is_streamed_without_buffering() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(1).await;
    let before: Vec<_> = cluster
        .agents
        .iter()
        .map(|agent| resident_kib(agent.pid()))
        .collect();
    let call = Call::get(format!("/recording?bytes={RECORDING_LEN}"));
    let mut stream = caller
        .open(&call)
        .await
        .expect("failed to open a request stream");
    stream.finish().await.expect("send failed");
    stream
        .recv_response()
        .await
        .expect("failed to receive the response headers");
    // The caller does not read yet, so backpressure must stop the target.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let streamed_bytes: u64 = cluster
        .targets
        .iter()
        .map(|target| target.stats().streamed_bytes.load(Ordering::Relaxed))
        .sum();
    assert!(
        streamed_bytes < 32 << 20,
        "the target sent {streamed_bytes} bytes although the caller does not read"
    );
    let mut received = 0;
    while let Some(mut data) = stream.recv_data().await.expect("failed to receive data") {
        received += data.remaining();
        data.advance(data.remaining());
    }
    assert_eq!(received, RECORDING_LEN);
    for (agent, before) in cluster.agents.iter().zip(before) {
        let growth = resident_kib(agent.pid()).saturating_sub(before);
        assert!(
            growth < MAX_GROWTH_KIB,
            "memory of {} grew by {growth} KiB",
            agent.name
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_carries_data_in_both_directions() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let mut stream = caller
        .open(&Call::post("/scan", Bytes::new()))
        .await
        .expect("failed to open a request stream");
    stream
        .send_data(Bytes::from_static(b"first "))
        .await
        .expect("send failed");
    let response = stream
        .recv_response()
        .await
        .expect("failed to receive the response headers");
    assert_eq!(response.status(), 200);
    for number in 0..20 {
        let message = format!("scan {number};");
        stream
            .send_data(message.clone().into())
            .await
            .expect("send failed");
        let mut echoed = Vec::new();
        while !echoed.ends_with(message.as_bytes()) {
            let mut data = stream
                .recv_data()
                .await
                .expect("failed to receive data")
                .expect("stream ended early");
            echoed.extend_from_slice(&data.copy_to_bytes(data.remaining()));
        }
    }
    stream.finish().await.expect("send failed");
    assert!(
        stream
            .recv_data()
            .await
            .expect("failed to receive the end of the stream")
            .is_none()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_survives_the_restart_of_every_balancer() {
    let mut cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let mut stream = open_echo_stream(&caller).await;
    for index in 0..3 {
        let others: Vec<_> = (0..3).filter(|&other| other != index).collect();
        cluster.route_through(&others);
        cluster.balancers[index].signal("-TERM");
        assert_eq!(cluster.balancers[index].wait_for_exit().await, Some(0));
        cluster.balancers[index].start();
        // From here on, only the restarted balancer forwards the packets of the flow.
        wait_until("the restarted balancer responds", || async {
            !cluster.status(&cluster.balancers[index]).await.is_null()
        })
        .await;
        cluster.route_through(&[index]);
        echo(&mut stream).await;
    }
    stream.finish().await.expect("send failed");
    assert!(
        stream
            .recv_data()
            .await
            .expect("failed to receive the end of the stream")
            .is_none()
    );
    assert!(caller.is_open());
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_agent_completes_running_requests_and_refuses_new_ones() {
    let mut cluster = TestCluster::start(2).await;
    let agent = cluster.add_target(0, "norte").await;
    cluster.wait_for_targets(1).await;
    let caller = cluster.connect_caller(0).await;
    let mut stream = caller
        .open(&Call::get("/listing?work_ms=1500"))
        .await
        .expect("failed to open a request stream");
    stream.finish().await.expect("send failed");
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.agents[agent].signal("-TERM");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refused = caller.call(&Call::get("/listing")).await;
    assert!(
        refused.is_err(),
        "a draining agent accepted a request: {refused:?}"
    );
    let response = read_response(&mut stream)
        .await
        .expect("failed to read the response");
    assert_eq!(response.status, 200);
    assert_eq!(cluster.agents[agent].wait_for_exit().await, Some(0));
    assert_eq!(cluster.targets[0].stats().runs.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancellation_by_the_caller_is_counted_by_the_agent() {
    let cluster = TestCluster::with_targets(2).await;
    let caller = cluster.connect_caller(0).await;
    let call = Call::get("/recording?bytes=100000000&work_ms=20");
    let mut stream = caller
        .open(&call)
        .await
        .expect("failed to open a request stream");
    stream.finish().await.expect("send failed");
    stream
        .recv_response()
        .await
        .expect("failed to receive the response headers");
    stream.stop_sending(h3::error::Code::H3_REQUEST_CANCELLED);
    wait_until("the agent counts the cancellation", || async {
        cluster.agent_event_count("request_cancelled").await == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_of_targets_are_reported_with_the_right_outcome() {
    let mut cluster = TestCluster::start(2).await;
    let faulty = FaultyTarget::start().await;
    cluster.add_agent(0, "norte", faulty.address);
    cluster.wait_for_targets(1).await;
    cluster.run_command(&["policy", "set", "response_timeout_ms=300"]);
    cluster.wait_for_policy(1).await;
    let caller = cluster.connect_caller(0).await;
    for (path, status, outcome) in [
        ("/rubbish", 502, "outcome-unknown"),
        ("/close", 502, "outcome-unknown"),
        ("/hang", 504, "outcome-unknown"),
    ] {
        let response = caller
            .call(&Call::get(path))
            .await
            .expect("failed to get a response");
        assert_eq!(
            (response.status.as_u16(), response.outcome()),
            (status, Some(outcome)),
            "{path}"
        );
    }
    let truncated = caller.call(&Call::get("/half")).await;
    assert!(
        truncated.is_err(),
        "a truncated response was accepted as complete: {truncated:?}"
    );
    // Its end is the end of the connection, which also a target that crashes closes.
    let unframed = caller.call(&Call::get("/unframed")).await;
    assert!(
        !unframed.as_ref().is_ok_and(|r| r.status.is_success()),
        "a response whose end cannot be verified was accepted as complete: {unframed:?}"
    );
    drop(faulty);
    wait_until("the port of the target is closed", || async {
        let response = caller
            .call(&Call::get("/listing"))
            .await
            .expect("failed to get a response");
        response.status == 503 && response.outcome() == Some("not-run")
    })
    .await;
}

// A second copy of a response arrives while the caller's connection is in use again.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_a_response_reaches_no_other_request() {
    let mut cluster = TestCluster::start(2).await;
    let faulty = FaultyTarget::start().await;
    cluster.add_agent(0, "norte", faulty.address);
    cluster.wait_for_targets(1).await;
    let caller = cluster.connect_caller(0).await;
    for round in 0..20 {
        let first = caller.call(&Call::get(format!("/twice/{round}"))).await;
        let own = caller.call(&Call::get(format!("/own/{round}"))).await;
        for (path, response) in [("twice", first), ("own", own)] {
            let response = response.expect("failed to get a response");
            let body = String::from_utf8_lossy(&response.body).into_owned();
            assert_eq!(body, format!("/{path}/{round}"));
        }
    }
}

/// A target that fails in the way that the request path names.
struct FaultyTarget {
    address: std::net::SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl FaultyTarget {
    async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a port");
        let address = listener
            .local_addr()
            .expect("failed to read the local address");
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_faulty_response(stream));
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

async fn send_faulty_response(mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 4096];
    let len = stream.read(&mut buffer).await.unwrap_or_default();
    let request = String::from_utf8_lossy(&buffer[..len]).into_owned();
    let path = request.split(' ').nth(1).unwrap_or_default();
    match path {
        "/rubbish" => drop(stream.write_all(b"\x00\x01 nonsense \r\n\r\n").await),
        "/hang" => std::future::pending().await,
        path if path.starts_with("/twice/") || path.starts_with("/own/") => {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", path.len());
            let response = format!("{head}{path}");
            drop(stream.write_all(response.as_bytes()).await);
            if path.starts_with("/twice/") {
                tokio::time::sleep(Duration::from_millis(5)).await;
                drop(stream.write_all(response.as_bytes()).await);
            }
        }
        "/unframed" => drop(
            stream
                .write_all(b"HTTP/1.1 200 OK\r\n\r\nonly this mu")
                .await,
        ),
        "/half" => {
            let head_and_partial_body =
                b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nonly this much";
            drop(stream.write_all(head_and_partial_body).await);
            drop(stream.flush().await);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        _ => {}
    }
}
