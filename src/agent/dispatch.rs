//! Runs a request on the target over its own HTTP/1.1 connection.
//!
//! Each request has a connection of its own, so that a failure says for certain whether a byte was
//! sent, and closing the connection cancels just that request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body_util::combinators::BoxBody;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::{net::TcpStream, task::JoinHandle, time};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Headers that hold for one connection only (RFC 9110 §7.6.1).
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Body of a request on its way to the target.
pub(crate) type RequestBody = BoxBody<Bytes, std::io::Error>;

/// Why the target gave no answer.
#[derive(Debug, Snafu)]
pub(crate) enum DispatchError {
    /// No byte was sent.
    #[snafu(display("the target cannot be reached: {reason}"))]
    NotSent { reason: String },
    /// The request was sent, whole or in part.
    #[snafu(display("the target's answer was lost: {reason}"))]
    Sent { reason: String },
    /// The request was sent and the head of the answer did not come in time.
    #[snafu(display("the target did not answer within {timeout_ms} ms"))]
    Timeout { timeout_ms: u64 },
}

/// An answer whose connection is closed when it is dropped.
pub(crate) struct TargetAnswer {
    pub response: Response<Incoming>,
    _connection: ConnectionGuard,
}

struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to the target on which nothing has been sent.
pub(crate) struct TargetConnection {
    sender: http1::SendRequest<RequestBody>,
    guard: ConnectionGuard,
}

/// Connects to the target; a failure means that nothing has run.
pub(crate) async fn connect_target(target: SocketAddr) -> Result<TcpStream, DispatchError> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connecting = time::timeout(timeout, TcpStream::connect(target)).await;
    let reason = match connecting {
        Ok(Ok(stream)) => {
            // Small requests must not wait for more data; a failure costs only time.
            let _ = stream.set_nodelay(true);
            return Ok(stream);
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no connection within {CONNECT_TIMEOUT_MS} ms"),
    };
    Err(DispatchError::NotSent { reason })
}

/// Prepares a connection for a request; nothing is sent yet.
pub(crate) async fn prepare(stream: TcpStream) -> Result<TargetConnection, DispatchError> {
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| DispatchError::NotSent {
            reason: error.to_string(),
        })?;
    let task = tokio::spawn(async move {
        // Errors of the connection reach the request or its body.
        let _ = connection.await;
    });
    Ok(TargetConnection {
        sender,
        guard: ConnectionGuard(task),
    })
}

impl TargetConnection {
    /// Sends the request and waits for the head of the answer.
    pub async fn run(
        mut self,
        request: Request<RequestBody>,
        timeout_ms: u64,
    ) -> Result<TargetAnswer, DispatchError> {
        let answer = self.sender.send_request(request);
        match time::timeout(Duration::from_millis(timeout_ms), answer).await {
            Ok(Ok(response)) => Ok(TargetAnswer {
                response,
                _connection: self.guard,
            }),
            Ok(Err(error)) => Err(DispatchError::Sent {
                reason: error.to_string(),
            }),
            Err(_) => Err(DispatchError::Timeout { timeout_ms }),
        }
    }
}

/// Removes the headers that do not go beyond one connection.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
