//! HTTP/3 client that connects to a service through the fabric.

use std::{sync::Arc, time::Duration};

use bytes::{Buf, Bytes};
use h3::error::{Code, StreamError};
use http::{HeaderMap, Method, Request, StatusCode};
use quinn::{
    ClientConfig, Endpoint, EndpointConfig, TokioRuntime, crypto::rustls::QuicClientConfig,
};
use rustls::RootCertStore;
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;

use super::{
    certificate::SERVER_NAME,
    fabric::{Fabric, SpraySocket},
};

const ALPN_HTTP3: &[u8] = b"h3";
const IDLE_TIMEOUT_MS: u32 = 30_000;
const KEEP_ALIVE_INTERVAL_MS: u64 = 5_000;
/// Response header with the outcome of a request that has no response of its target.
const OUTCOME_HEADER: &str = "bamboowind-outcome";

type SendRequest = h3::client::SendRequest<h3_quinn::OpenStreams, Bytes>;
/// Both directions of a request stream.
pub type RequestStream = h3::client::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Errors of a connection or a request.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The socket, the TLS configuration or the QUIC endpoint could not be set up.
    #[snafu(display("cannot set up the QUIC endpoint: {reason}"))]
    Setup {
        /// Error of the failed step.
        reason: String,
    },
    /// The connection could not be opened, so no request has run.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// The underlying error.
        source: quinn::ConnectionError,
    },
    /// The HTTP/3 connection could not be established.
    #[snafu(display("HTTP/3 connection failed: {source}"))]
    Connection {
        /// The underlying error.
        source: h3::error::ConnectionError,
    },
    /// The request headers could not be sent, so the request has not run.
    #[snafu(display("cannot send the request headers: {source}"))]
    NotSent {
        /// The underlying error.
        source: StreamError,
    },
    /// The stream failed after the request headers were sent.
    #[snafu(display("request stream failed: {source}"))]
    Stream {
        /// The underlying error.
        source: StreamError,
    },
}

impl CallError {
    /// Returns whether the request is known not to have run: either its headers were not sent
    /// completely, or the agent rejected it.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Setup { .. } | Self::Connect { .. } | Self::NotSent { .. } => true,
            Self::Connection { .. } => false,
            Self::Stream { source } => {
                // An agent closes a connection without error only after the caller has received all
                // responses, so a request that fails this way was never started.
                let is_rejected = matches!(
                    source,
                    StreamError::RemoteTerminate {
                        code: Code::H3_REQUEST_REJECTED,
                        ..
                    }
                );
                is_rejected || source.is_h3_no_error()
            }
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Vec<u8>,
}

impl CallResponse {
    /// Returns the outcome that the agent reports, or `None` if the response is the target's own.
    #[must_use]
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get(OUTCOME_HEADER)?.to_str().ok()
    }

    /// Returns the value of a header, or an empty string if it is missing or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Call {
    /// Creates a GET request without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST request with a body.
    #[must_use]
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(path)
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn request_head(&self) -> Request<()> {
        let uri = format!("https://{SERVER_NAME}{}", self.path);
        let mut builder = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        builder.body(()).unwrap_or_default()
    }
}

/// A client with one connection to the service.
pub struct Caller {
    endpoint: Endpoint,
    connection: quinn::Connection,
    requests: SendRequest,
    driver: JoinHandle<h3::error::ConnectionError>,
}

impl Caller {
    /// Opens a connection through the fabric, trusting the certificates in `roots`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the connection cannot be established.
    pub async fn connect(fabric: &Fabric, roots: RootCertStore) -> Result<Self, CallError> {
        let endpoint = endpoint(fabric, roots).await?;
        let connecting = endpoint
            .connect(fabric.service_address(), SERVER_NAME)
            .map_err(|error| CallError::Setup {
                reason: error.to_string(),
            })?;
        let connection = connecting.await.context(ConnectSnafu)?;
        let http = h3_quinn::Connection::new(connection.clone());
        let (mut driver, requests) = h3::client::new(http).await.context(ConnectionSnafu)?;
        let driver = tokio::spawn(async move { driver.wait_idle().await });
        Ok(Self {
            endpoint,
            connection,
            requests,
            driver,
        })
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the response is not received completely.
    pub async fn call(&self, call: &Call) -> Result<CallResponse, CallError> {
        let mut stream = self.open(call).await?;
        let sent = send_body(&mut stream, call.body.clone()).await;
        // The response may arrive before the whole request body is read, which can fail the sending of
        // the rest. A complete response takes precedence over that error.
        match (read_response(&mut stream).await, sent) {
            (Ok(response), _) => Ok(response),
            (Err(_), Err(error)) | (Err(error), Ok(())) => Err(error),
        }
    }

    /// Sends the headers of a request and returns its open stream.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the headers cannot be sent.
    pub async fn open(&self, call: &Call) -> Result<RequestStream, CallError> {
        let mut requests = self.requests.clone();
        requests
            .send_request(call.request_head())
            .await
            .context(NotSentSnafu)
    }

    /// Returns whether the connection is still open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none() && !self.driver.is_finished()
    }

    /// Waits until the connection is closed and returns the reason.
    pub async fn closed(&self) -> quinn::ConnectionError {
        self.connection.closed().await
    }

    /// Closes the connection and waits until the close has been delivered or has timed out.
    pub async fn close(self) {
        self.connection.close(0x100u32.into(), b"done");
        self.endpoint.wait_idle().await;
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn send_body(stream: &mut RequestStream, body: Bytes) -> Result<(), CallError> {
    if !body.is_empty() {
        stream.send_data(body).await.context(StreamSnafu)?;
    }
    stream.finish().await.context(StreamSnafu)
}

/// Reads a response to its end.
///
/// # Errors
///
/// Returns [`CallError`] when the response is not received completely.
pub async fn read_response(stream: &mut RequestStream) -> Result<CallResponse, CallError> {
    let head = stream.recv_response().await.context(StreamSnafu)?;
    let mut body = Vec::new();
    while let Some(mut data) = stream.recv_data().await.context(StreamSnafu)? {
        body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
    }
    let (parts, ()) = head.into_parts();
    Ok(CallResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

async fn endpoint(fabric: &Fabric, roots: RootCertStore) -> Result<Endpoint, CallError> {
    let setup_error = |reason: String| CallError::Setup { reason };
    let socket = SpraySocket::bind(fabric.clone())
        .await
        .map_err(|error| setup_error(error.to_string()))?;
    let mut endpoint = Endpoint::new_with_abstract_socket(
        EndpointConfig::default(),
        None,
        Arc::new(socket),
        Arc::new(TokioRuntime),
    )
    .map_err(|error| setup_error(error.to_string()))?;
    endpoint.set_default_client_config(client_config(roots).map_err(setup_error)?);
    Ok(endpoint)
}

fn client_config(roots: RootCertStore) -> Result<ClientConfig, String> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| error.to_string())?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![ALPN_HTTP3.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(|error| error.to_string())?;
    let mut config = ClientConfig::new(Arc::new(quic));
    let mut transport = quinn::TransportConfig::default();
    transport
        .max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .keep_alive_interval(Some(Duration::from_millis(KEEP_ALIVE_INTERVAL_MS)));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
