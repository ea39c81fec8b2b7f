//! Client for requests to other bamboowind processes over framed streams.

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

/// Time limit for connecting and for the whole exchange, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Reason why a call returned no reply.
#[derive(Debug, Snafu)]
pub enum RpcError {
    /// The connection could not be established, so the request was not sent.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The exchange failed; the peer may have received the request.
    #[snafu(display("{source}"))]
    Exchange {
        /// Underlying frame error.
        source: FrameError,
    },
    /// No reply arrived in time; the peer may have received the request.
    #[snafu(display("no reply within {CALL_TIMEOUT_MS} ms"))]
    Timeout,
}

/// Sends a request to `peer` and returns its reply.
///
/// # Errors
///
/// Returns [`RpcError`] if the connection or the exchange fails or times out.
pub async fn call<R: Message + Default>(
    peer: SocketAddr,
    keys: SharedKeyRing,
    body: Body,
) -> Result<R, RpcError> {
    let (reply, _) = call_keeping_stream(peer, keys, body).await?;
    Ok(reply)
}

/// Sends a request to `peer` and returns its reply and the open stream.
///
/// # Errors
///
/// Returns [`RpcError`] if the connection or the exchange fails or times out.
pub async fn call_keeping_stream<R: Message + Default>(
    peer: SocketAddr,
    keys: SharedKeyRing,
    body: Body,
) -> Result<(R, FramedStream), RpcError> {
    let exchange = exchange(peer, keys, body);
    time::timeout(Duration::from_millis(CALL_TIMEOUT_MS), exchange)
        .await
        .unwrap_or(Err(RpcError::Timeout))
}

async fn exchange<R: Message + Default>(
    peer: SocketAddr,
    keys: SharedKeyRing,
    body: Body,
) -> Result<(R, FramedStream), RpcError> {
    let stream = TcpStream::connect(peer).await.context(ConnectSnafu)?;
    // Disables Nagle's algorithm to send small frames at once; failure only adds latency.
    let _ = stream.set_nodelay(true);
    let mut framed = FramedStream::connect(stream, keys)
        .await
        .context(ExchangeSnafu)?;
    let request = InnerRequest { body: Some(body) };
    framed.send(&request).await.context(ExchangeSnafu)?;
    let reply = framed.receive().await.context(ExchangeSnafu)?;
    Ok((reply, framed))
}
