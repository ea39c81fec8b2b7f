//! Sends a request to the target over a dedicated HTTP/1.1 connection.
//!
//! Connections are not reused, so that an error tells whether any byte of the request was sent, and
//! closing a connection cancels only its request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body_util::combinators::BoxBody;
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::{net::TcpStream, task::JoinHandle, time};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Header fields that apply to a single connection and are not forwarded (RFC 9110 §7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Body of a request sent to the target.
pub(crate) type RequestBody = BoxBody<Bytes, std::io::Error>;

/// Why no response was received from the target.
#[derive(Debug, Snafu)]
pub(crate) enum DispatchError {
    /// No byte of the request was sent.
    #[snafu(display("the target cannot be reached: {reason}"))]
    NotSent { reason: String },
    /// The connection failed after the request had been sent in whole or in part.
    #[snafu(display("the target's answer was lost: {reason}"))]
    ResponseLost { reason: String },
    /// The request was sent, but no response head was received within the response timeout.
    #[snafu(display("the target did not answer within {timeout_ms} ms"))]
    Timeout { timeout_ms: u64 },
}

/// A response of the target. Dropping it closes the connection.
pub(crate) struct TargetResponse {
    pub response: Response<Incoming>,
    _connection: ConnectionTaskGuard,
}

impl TargetResponse {
    /// Whether the end of the body can be told from a connection that broke. It cannot if the body
    /// ends with the connection, which a target that crashes also closes.
    pub fn has_verifiable_end(&self) -> bool {
        let has_length = self.response.body().size_hint().exact().is_some();
        let headers = self.response.headers();
        has_length || headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// Aborts the task that drives a connection when dropped, which closes the connection.
struct ConnectionTaskGuard(JoinHandle<()>);

impl Drop for ConnectionTaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection to the target on which no request has been sent.
pub(crate) struct TargetConnection {
    sender: http1::SendRequest<RequestBody>,
    guard: ConnectionTaskGuard,
}

/// Connects to the target. On an error, the request has not been sent.
pub(crate) async fn connect_target(target: SocketAddr) -> Result<TcpStream, DispatchError> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connecting = time::timeout(timeout, TcpStream::connect(target)).await;
    let reason = match connecting {
        Ok(Ok(stream)) => {
            // Nagle's algorithm would delay small requests. An error only costs latency.
            let _ = stream.set_nodelay(true);
            return Ok(stream);
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no connection within {CONNECT_TIMEOUT_MS} ms"),
    };
    Err(DispatchError::NotSent { reason })
}

/// Sets up HTTP/1.1 on a connection without sending anything.
pub(crate) async fn handshake(stream: TcpStream) -> Result<TargetConnection, DispatchError> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| DispatchError::NotSent {
            reason: error.to_string(),
        })?;
    let task = tokio::spawn(async move {
        // Connection errors are also returned by the request or its body.
        let _ = connection.await;
    });
    Ok(TargetConnection {
        sender,
        guard: ConnectionTaskGuard(task),
    })
}

impl TargetConnection {
    /// Sends the request and waits for the head of the response.
    pub async fn send(
        mut self,
        request: Request<RequestBody>,
        timeout_ms: u64,
    ) -> Result<TargetResponse, DispatchError> {
        let response = self.sender.send_request(request);
        match time::timeout(Duration::from_millis(timeout_ms), response).await {
            Ok(Ok(response)) => Ok(TargetResponse {
                response,
                _connection: self.guard,
            }),
            Ok(Err(error)) => Err(DispatchError::ResponseLost {
                reason: error.to_string(),
            }),
            Err(_) => Err(DispatchError::Timeout { timeout_ms }),
        }
    }
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
