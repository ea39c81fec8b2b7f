//! One connection of a caller: takes its requests until it ends or the agent drains.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use h3::{error::Code, server::RequestResolver};
use slog::debug;
use tokio::{sync::watch, task::JoinSet, time};

use super::{request::Handler, state::Shared};
use crate::{observe::counters::Event, proto::control::AgentState};

/// A GOAWAY names the first request that is refused: the one after the last that was taken.
const ONE_REQUEST_BEYOND: usize = 1;
/// Silence after which a drained connection is closed.
const QUIET_MS: u64 = 1_000;
const QUIET_POLL_MS: u64 = 50;

/// Counts an open connection for as long as it lives.
struct OpenConnection(Arc<Shared>);

impl OpenConnection {
    fn new(shared: Arc<Shared>) -> Self {
        shared.connection_opened();
        shared.counters.count(Event::ConnectionOpened);
        Self(shared)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connection_closed();
        self.0.counters.count(Event::ConnectionClosed);
    }
}

/// Serves a connection to its end.
pub(crate) async fn serve(shared: Arc<Shared>, handler: Handler, incoming: quinn::Incoming) {
    let open = OpenConnection::new(Arc::clone(&shared));
    let caller = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            debug!(shared.log, "handshake failed"; "caller" => %caller, "error" => %error);
            return;
        }
    };
    if let Err(error) = take_requests(&shared, handler, connection).await {
        debug!(shared.log, "connection ended"; "caller" => %caller, "error" => %error);
    }
    drop(open);
}

async fn take_requests(
    shared: &Arc<Shared>,
    handler: Handler,
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
                    // Requests notice by themselves that their caller has left.
                    running.detach_all();
                    return Err(error);
                }
            },
            _ = running.join_next(), if !running.is_empty() => {}
            () = draining(&mut state), if !is_draining => {
                is_draining = true;
                http.shutdown(ONE_REQUEST_BEYOND).await?;
            }
            () = quiet(&connection), if is_draining && running.is_empty() => break,
        }
    }
    running.detach_all();
    Ok(())
}

/// Refuses a request that came after the GOAWAY; its caller knows that it has not run.
async fn reject(request: RequestResolver<h3_quinn::Connection, Bytes>) {
    if let Ok((_, mut stream)) = request.resolve_request().await {
        stream.stop_sending(Code::H3_REQUEST_REJECTED);
        stream.stop_stream(Code::H3_REQUEST_REJECTED);
    }
}

/// Waits until the agent drains.
async fn draining(state: &mut watch::Receiver<AgentState>) {
    let is_draining = state
        .wait_for(|state| matches!(state, AgentState::Draining | AgentState::Gone))
        .await
        .is_ok();
    if !is_draining {
        std::future::pending::<()>().await;
    }
}

/// Waits until a connection has been silent for a while. Closing it earlier could cut off the end
/// of an answer that the caller has not acknowledged, since it is sent again until it is.
async fn quiet(connection: &quinn::Connection) {
    let datagrams = || {
        let stats = connection.stats();
        (stats.udp_tx.datagrams, stats.udp_rx.datagrams)
    };
    let mut seen = datagrams();
    let mut quiet_ms = 0;
    while quiet_ms < QUIET_MS {
        time::sleep(Duration::from_millis(QUIET_POLL_MS)).await;
        let current = datagrams();
        quiet_ms = if current == seen {
            quiet_ms + QUIET_POLL_MS
        } else {
            0
        };
        seen = current;
    }
}
