//! Asks another process over a framed stream.

use std::{net::SocketAddr, time::Duration};

use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time};

use crate::{
    proto::control::{InnerRequest, inner_request::Body},
    wire::{
        frame::{FrameError, FramedStream},
        key_ring::SharedKeyRing,
    },
};

const ASK_TIMEOUT_MS: u64 = 2_000;

/// Why a question has no answer.
#[derive(Debug, Snafu)]
pub enum AskError {
    /// The other process cannot be reached, so it has not seen the question.
    #[snafu(display("cannot be reached: {source}"))]
    Connect {
        /// The underlying error.
        source: std::io::Error,
    },
    /// The exchange failed after the question may have been sent.
    #[snafu(display("{source}"))]
    Exchange {
        /// The underlying error.
        source: FrameError,
    },
    /// The answer took too long.
    #[snafu(display("no answer within {ASK_TIMEOUT_MS} ms"))]
    Timeout,
}

/// Asks `peer` and waits for its answer.
///
/// # Errors
///
/// Returns [`AskError`] when there is no answer in time.
pub async fn ask<R: Message + Default>(
    peer: SocketAddr,
    keys: SharedKeyRing,
    body: Body,
) -> Result<R, AskError> {
    let (reply, _) = ask_and_keep(peer, keys, body).await?;
    Ok(reply)
}

/// Asks `peer` and returns its answer with the open stream.
///
/// # Errors
///
/// Returns [`AskError`] when there is no answer in time.
pub async fn ask_and_keep<R: Message + Default>(
    peer: SocketAddr,
    keys: SharedKeyRing,
    body: Body,
) -> Result<(R, FramedStream), AskError> {
    let exchange = exchange(peer, keys, body);
    time::timeout(Duration::from_millis(ASK_TIMEOUT_MS), exchange)
        .await
        .unwrap_or(Err(AskError::Timeout))
}

async fn exchange<R: Message + Default>(
    peer: SocketAddr,
    keys: SharedKeyRing,
    body: Body,
) -> Result<(R, FramedStream), AskError> {
    let stream = TcpStream::connect(peer).await.context(ConnectSnafu)?;
    // Small frames must not wait for more data; a failure costs only time.
    let _ = stream.set_nodelay(true);
    let mut framed = FramedStream::connect(stream, keys)
        .await
        .context(ExchangeSnafu)?;
    let request = InnerRequest { body: Some(body) };
    framed.send(&request).await.context(ExchangeSnafu)?;
    let reply = framed.receive().await.context(ExchangeSnafu)?;
    Ok((reply, framed))
}
