//! A caller that speaks HTTP/3 through the fabric and counts what it is told.

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
/// Header in which the system says what became of a request.
const OUTCOME_HEADER: &str = "bamboowind-outcome";

type SendRequest = h3::client::SendRequest<h3_quinn::OpenStreams, Bytes>;
/// A request under way, in both directions.
pub type RequestStream = h3::client::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The caller's socket or endpoint cannot be set up.
    #[snafu(display("the caller cannot be set up: {reason}"))]
    SetUp {
        /// What failed.
        reason: String,
    },
    /// The connection cannot be opened, so nothing has run.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// The underlying error.
        source: quinn::ConnectionError,
    },
    /// The connection cannot be used.
    #[snafu(display("connection failed: {source}"))]
    Connection {
        /// The underlying error.
        source: h3::error::ConnectionError,
    },
    /// The head of the request could not be sent, so it has not run.
    #[snafu(display("request not sent: {source}"))]
    NotSent {
        /// The underlying error.
        source: StreamError,
    },
    /// The request failed.
    #[snafu(display("request failed: {source}"))]
    Stream {
        /// The underlying error.
        source: StreamError,
    },
}

impl CallError {
    /// Whether the request has not run: it was rejected, or its head never left the caller whole.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::SetUp { .. } | Self::Connect { .. } | Self::NotSent { .. } => true,
            Self::Connection { .. } => false,
            Self::Stream { source } => {
                // An agent closes without error only after the last answer has arrived.
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Vec<u8>,
}

impl Answer {
    /// What the system says became of the request; `None` when the target itself answered.
    #[must_use]
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get(OUTCOME_HEADER)?.to_str().ok()
    }

    /// A header as text; empty when it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// A request of the caller.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Call {
    /// A request without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A request with a body.
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

    fn head(&self) -> Request<()> {
        let uri = format!("https://{SERVER_NAME}{}", self.path);
        let mut builder = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        builder.body(()).unwrap_or_default()
    }
}

/// A caller with one open connection.
pub struct Caller {
    endpoint: Endpoint,
    connection: quinn::Connection,
    requests: SendRequest,
    driver: JoinHandle<h3::error::ConnectionError>,
}

impl Caller {
    /// Opens a connection through the fabric.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when no connection comes about.
    pub async fn connect(fabric: &Fabric, roots: RootCertStore) -> Result<Self, CallError> {
        let endpoint = endpoint(fabric, roots).await?;
        let connecting = endpoint
            .connect(fabric.service(), SERVER_NAME)
            .map_err(|error| CallError::SetUp {
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

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the answer does not arrive whole.
    pub async fn call(&self, call: &Call) -> Result<Answer, CallError> {
        let mut stream = self.open(call).await?;
        let sent = send_body(&mut stream, call.body.clone()).await;
        // An answer may come before the body is wanted whole.
        match (read_answer(&mut stream).await, sent) {
            (Ok(answer), _) => Ok(answer),
            (Err(_), Err(error)) | (Err(error), Ok(())) => Err(error),
        }
    }

    /// Sends the head of a request and leaves its stream open.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] when the request cannot be sent.
    pub async fn open(&self, call: &Call) -> Result<RequestStream, CallError> {
        let mut requests = self.requests.clone();
        requests
            .send_request(call.head())
            .await
            .context(NotSentSnafu)
    }

    /// Whether the connection is still open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none() && !self.driver.is_finished()
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) -> quinn::ConnectionError {
        self.connection.closed().await
    }

    /// Closes the connection and waits until the other side knows.
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

/// Reads an answer to its end.
///
/// # Errors
///
/// Returns [`CallError`] when the answer does not arrive whole.
pub async fn read_answer(stream: &mut RequestStream) -> Result<Answer, CallError> {
    let head = stream.recv_response().await.context(StreamSnafu)?;
    let mut body = Vec::new();
    while let Some(mut data) = stream.recv_data().await.context(StreamSnafu)? {
        body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
    }
    let (parts, ()) = head.into_parts();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

async fn endpoint(fabric: &Fabric, roots: RootCertStore) -> Result<Endpoint, CallError> {
    let set_up = |reason: String| CallError::SetUp { reason };
    let socket = SpraySocket::bind(fabric.clone())
        .await
        .map_err(|error| set_up(error.to_string()))?;
    let mut endpoint = Endpoint::new_with_abstract_socket(
        EndpointConfig::default(),
        None,
        Arc::new(socket),
        Arc::new(TokioRuntime),
    )
    .map_err(|error| set_up(error.to_string()))?;
    endpoint.set_default_client_config(client_config(roots).map_err(set_up)?);
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
