//! One connection of a caller: takes its requests until it ends or the agent drains.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use slog::debug;
use tokio::sync::watch;

use super::{request::Handler, state::Shared};
use crate::{observe::counters::Event, proto::control::AgentState};

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
    let caller: SocketAddr = connection.remote_address();
    let mut http = h3::server::builder()
        .build::<_, Bytes>(h3_quinn::Connection::new(connection))
        .await?;
    let mut state = shared.watch_state();
    let mut is_draining = false;
    loop {
        tokio::select! {
            accepted = http.accept() => match accepted? {
                Some(resolver) => {
                    let handler = handler.clone();
                    tokio::spawn(async move { handler.handle(caller, resolver).await });
                }
                None => return Ok(()),
            },
            () = draining(&mut state), if !is_draining => {
                is_draining = true;
                http.shutdown(0).await?;
            }
        }
    }
}

/// Waits until the agent drains.
async fn draining(state: &mut watch::Receiver<AgentState>) {
    let is_draining = state
        .wait_for(|state| *state != AgentState::Accepting)
        .await
        .is_ok();
    if !is_draining {
        std::future::pending::<()>().await;
    }
}
