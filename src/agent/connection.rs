//! Serves the requests of one QUIC connection until it closes or the agent has drained.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use h3::{error::Code, server::RequestResolver};
use slog::debug;
use tokio::{sync::watch, task::JoinSet, time};

use super::{request::RequestHandler, state::Shared};
use crate::{observe::counters::Event, proto::control::AgentState};

/// Offset of the stream ID in the GOAWAY from the last accepted request: the GOAWAY carries the ID
/// of the first request that is rejected.
const GOAWAY_ID_OFFSET: usize = 1;
/// Time without datagrams in either direction after which a drained connection is closed.
const CLOSE_IDLE_MS: u64 = 1_000;
const IDLE_POLL_MS: u64 = 50;

/// Counts a connection as open until it is dropped.
struct OpenConnectionGuard(Arc<Shared>);

impl OpenConnectionGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.connection_opened();
        shared.counters.count(Event::ConnectionOpened);
        Self(shared)
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.connection_closed();
        self.0.counters.count(Event::ConnectionClosed);
    }
}

/// Completes the handshake of a connection and serves its requests.
pub(crate) async fn serve(shared: Arc<Shared>, handler: RequestHandler, incoming: quinn::Incoming) {
    let open_guard = OpenConnectionGuard::new(Arc::clone(&shared));
    let caller = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            debug!(shared.log, "QUIC handshake failed"; "caller" => %caller, "error" => %error);
            return;
        }
    };
    if let Err(error) = serve_requests(&shared, handler, connection).await {
        debug!(shared.log, "connection closed with an error"; "caller" => %caller,
            "error" => %error);
    }
    drop(open_guard);
}

/// Serves requests until the connection closes or, after a drain, has become idle.
async fn serve_requests(
    shared: &Arc<Shared>,
    handler: RequestHandler,
    connection: quinn::Connection,
) -> Result<(), h3::error::ConnectionError> {
    let mut http = h3::server::builder()
        .build::<_, Bytes>(h3_quinn::Connection::new(connection.clone()))
        .await?;
    let mut state = shared.watch_state();
    let mut running = JoinSet::new();
    let mut is_draining = false;
    loop {
        tokio::select! {
            accepted = http.accept() => match accepted {
                Ok(Some(request)) if is_draining => drop(tokio::spawn(reject(request))),
                Ok(Some(request)) => {
                    let (handler, connection) = (handler.clone(), connection.clone());
                    running.spawn(async move { handler.handle(connection, request).await });
                }
                Ok(None) => break,
                Err(error) => {
                    // Request tasks detect the closed connection themselves.
                    running.detach_all();
                    return Err(error);
                }
            },
            _ = running.join_next(), if !running.is_empty() => {}
            () = wait_for_drain(&mut state), if !is_draining => {
                is_draining = true;
                http.shutdown(GOAWAY_ID_OFFSET).await?;
            }
            () = wait_until_idle(&connection), if is_draining && running.is_empty() => break,
        }
    }
    running.detach_all();
    Ok(())
}

/// Rejects a request received after the GOAWAY. `H3_REQUEST_REJECTED` tells the caller that the
/// request was not processed and may be retried.
async fn reject(request: RequestResolver<h3_quinn::Connection, Bytes>) {
    if let Ok((_, mut stream)) = request.resolve_request().await {
        stream.stop_sending(Code::H3_REQUEST_REJECTED);
        stream.stop_stream(Code::H3_REQUEST_REJECTED);
    }
}

/// Waits until the agent drains or stops.
async fn wait_for_drain(state: &mut watch::Receiver<AgentState>) {
    let is_draining = state
        .wait_for(|state| matches!(state, AgentState::Draining | AgentState::Gone))
        .await
        .is_ok();
    if !is_draining {
        std::future::pending::<()>().await;
    }
}

/// Waits until no datagram was sent or received for [`CLOSE_IDLE_MS`]. The end of a response may
/// still be unacknowledged; closing the connection would stop its retransmission.
async fn wait_until_idle(connection: &quinn::Connection) {
    let datagrams = || {
        let stats = connection.stats();
        (stats.udp_tx.datagrams, stats.udp_rx.datagrams)
    };
    let mut previous = datagrams();
    let mut idle_ms = 0;
    while idle_ms < CLOSE_IDLE_MS {
        time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
        let current = datagrams();
        idle_ms = if current == previous {
            idle_ms + IDLE_POLL_MS
        } else {
            0
        };
        previous = current;
    }
}
