//! Passes the policy between processes over framed streams.

use std::{net::SocketAddr, time::Duration};

use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};

use super::{policy, policy_cell::PolicyCell};
use crate::{
    proto::control::{PolicyReply, PolicyRequest},
    wire::{
        frame::{FrameError, FramedStream},
        key_ring::SharedKeyRing,
    },
};

const FETCH_TIMEOUT_MS: u64 = 2_000;
const MAX_CONCURRENT_ANSWERS: usize = 32;

/// Why a policy could not be fetched.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The other process cannot be reached.
    #[snafu(display("cannot reach {peer}: {source}"))]
    Connect {
        /// Address of the other process.
        peer: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The exchange failed.
    #[snafu(display("cannot fetch the policy: {source}"))]
    Exchange {
        /// The underlying error.
        source: FrameError,
    },
    /// The exchange took too long.
    #[snafu(display("the peer did not answer in time"))]
    Timeout,
}

/// Fetches the policy of `peer` if it is newer, and offers it to `cell`.
///
/// # Errors
///
/// Returns [`FetchError`] when the exchange fails.
pub async fn fetch(
    peer: SocketAddr,
    keys: SharedKeyRing,
    cell: &PolicyCell,
) -> Result<bool, FetchError> {
    let exchange = exchange(peer, keys, cell);
    time::timeout(Duration::from_millis(FETCH_TIMEOUT_MS), exchange)
        .await
        .unwrap_or(Err(FetchError::Timeout))
}

async fn exchange(
    peer: SocketAddr,
    keys: SharedKeyRing,
    cell: &PolicyCell,
) -> Result<bool, FetchError> {
    let stream = TcpStream::connect(peer)
        .await
        .context(ConnectSnafu { peer })?;
    let mut framed = FramedStream::connect(stream, keys)
        .await
        .context(ExchangeSnafu)?;
    let request = PolicyRequest {
        have_version: cell.version(),
    };
    framed.send(&request).await.context(ExchangeSnafu)?;
    let reply: PolicyReply = framed.receive().await.context(ExchangeSnafu)?;
    let newer = policy::decode(&reply.policy_json);
    Ok(newer.is_some_and(|policy| cell.offer(policy)))
}

/// Answers the policy requests of other processes until the listener fails.
pub async fn serve(listener: TcpListener, keys: SharedKeyRing, cell: PolicyCell) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT_ANSWERS));
    loop {
        let Ok(permit) = std::sync::Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (keys, cell) = (keys.clone(), cell.clone());
        tokio::spawn(async move {
            let answer = answer(stream, keys, cell);
            // A peer that fails or is slow asks again.
            let _ = time::timeout(Duration::from_millis(FETCH_TIMEOUT_MS), answer).await;
            drop(permit);
        });
    }
}

async fn answer(
    stream: TcpStream,
    keys: SharedKeyRing,
    cell: PolicyCell,
) -> Result<(), FrameError> {
    let mut framed = FramedStream::accept(stream, keys).await?;
    let request: PolicyRequest = framed.receive().await?;
    let current = cell.current();
    let is_newer = current.version > request.have_version;
    let policy_json = if is_newer {
        policy::encode(&current)
    } else {
        Vec::new()
    };
    let reply = PolicyReply {
        version: current.version,
        policy_json,
    };
    framed.send(&reply).await
}
