//! Responses to packets that are not forwarded: first packets of flows, and packets of lost flows,
//! whose agent process is dead.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::BytesMut;
use quinn_proto::{
    ConnectionId, ConnectionIdGenerator, DatagramEvent, Endpoint, EndpointConfig, ServerConfig,
    crypto::rustls::QuicServerConfig,
};
use rustls::{server::ResolvesServerCert, sign::CertifiedKey};
use snafu::{ResultExt, Snafu};

use crate::wire::{
    connection_id::{self, CONNECTION_ID_LEN, NONCE_BITS, Route},
    key_ring::SharedKeyRing,
    quic_keys::{RetryTokenKey, StatelessResetKey},
};

/// Error while creating a [`Responder`].
#[derive(Debug, Snafu)]
pub enum ResponderError {
    /// The TLS library does not support TLS 1.3 with the cipher suites that QUIC requires.
    #[snafu(display("cannot configure TLS: {source}"))]
    Tls {
        /// The underlying error.
        source: rustls::Error,
    },
    /// The TLS library does not support the cipher suite of QUIC Initial packets.
    #[snafu(display("the TLS library does not support the cipher suite of QUIC Initial packets"))]
    InitialSuite {
        /// The underlying error.
        source: quinn_proto::crypto::rustls::NoInitialCipherSuite,
    },
}

/// Kind of response to a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    /// A Retry packet whose connection ID names an agent.
    Retry,
    /// A refusal, because no agent accepts new flows or the agent of the flow is dead.
    Refusal,
    /// A version negotiation or a stateless reset.
    Other,
    /// No response.
    None,
}

/// Responds to packets without keeping per-flow state.
pub struct Responder {
    endpoint: Endpoint,
    /// Route encoded in the next generated connection ID; shared with the generator.
    next_route: Arc<Mutex<Option<Route>>>,
}

impl std::fmt::Debug for Responder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Responder")
    }
}

impl Responder {
    /// Creates a responder that uses the keys shared by all balancers and agents.
    ///
    /// # Errors
    ///
    /// Returns [`ResponderError`] if TLS cannot be configured.
    pub fn new(keys: &SharedKeyRing) -> Result<Self, ResponderError> {
        let next_route = Arc::new(Mutex::new(None));
        let mut config = EndpointConfig::new(Arc::new(StatelessResetKey::new(keys.clone())));
        let (generator_keys, generator_route) = (keys.clone(), Arc::clone(&next_route));
        config.cid_generator(move || {
            Box::new(RouteIdGenerator {
                keys: generator_keys.clone(),
                next_route: Arc::clone(&generator_route),
            })
        });
        config.min_reset_interval(Duration::ZERO);
        let server =
            ServerConfig::new(server_crypto()?, Arc::new(RetryTokenKey::new(keys.clone())));
        let endpoint = Endpoint::new(Arc::new(config), Some(Arc::new(server)), false, None);
        Ok(Self {
            endpoint,
            next_route,
        })
    }

    /// Writes the response to the first packet of a flow into `out`.
    ///
    /// `route` names the agent chosen for the flow; with `None` the flow is refused.
    pub fn respond_to_first(
        &mut self,
        caller: SocketAddr,
        packet: BytesMut,
        route: Option<Route>,
        out: &mut Vec<u8>,
    ) -> Response {
        out.clear();
        *self
            .next_route
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = route;
        let event = self
            .endpoint
            .handle(Instant::now(), caller, None, None, packet, out);
        match event {
            Some(DatagramEvent::NewConnection(incoming)) if route.is_some() => {
                out.clear();
                match self.endpoint.retry(incoming, out) {
                    Ok(_) => Response::Retry,
                    Err(error) => {
                        out.clear();
                        let _ = self.endpoint.refuse(error.into_incoming(), out);
                        Response::Refusal
                    }
                }
            }
            Some(DatagramEvent::NewConnection(incoming)) => {
                out.clear();
                let _ = self.endpoint.refuse(incoming, out);
                Response::Refusal
            }
            Some(DatagramEvent::Response(_)) => Response::Other,
            Some(DatagramEvent::ConnectionEvent(..)) | None => Response::None,
        }
    }

    /// Writes the response to a packet of a lost flow into `out`: a stateless reset, or a refusal
    /// if the flow is still being opened.
    pub fn respond_to_lost(
        &mut self,
        caller: SocketAddr,
        packet: BytesMut,
        out: &mut Vec<u8>,
    ) -> Response {
        out.clear();
        match self
            .endpoint
            .handle(Instant::now(), caller, None, None, packet, out)
        {
            Some(DatagramEvent::Response(_)) => Response::Other,
            Some(DatagramEvent::NewConnection(incoming)) => {
                out.clear();
                let _ = self.endpoint.refuse(incoming, out);
                Response::Refusal
            }
            Some(DatagramEvent::ConnectionEvent(..)) | None => Response::None,
        }
    }
}

/// TLS configuration of the QUIC endpoint, without a certificate.
fn server_crypto() -> Result<Arc<QuicServerConfig>, ResponderError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(TlsSnafu)?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(NoCertificateResolver));
    let quic = QuicServerConfig::try_from(Arc::new(tls)).context(InitialSuiteSnafu)?;
    Ok(Arc::new(quic))
}

/// Resolver that never returns a certificate: a balancer does not terminate connections.
#[derive(Debug)]
struct NoCertificateResolver;

impl ResolvesServerCert for NoCertificateResolver {
    fn resolve(&self, _hello: rustls::server::ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        None
    }
}

/// Generates connection IDs that encode `next_route`, or random ones if there is none.
struct RouteIdGenerator {
    keys: SharedKeyRing,
    next_route: Arc<Mutex<Option<Route>>>,
}

impl ConnectionIdGenerator for RouteIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let route = *self
            .next_route
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match route {
            Some(route) => {
                let nonce = rand::random::<u32>() >> (u32::BITS - NONCE_BITS);
                ConnectionId::new(&connection_id::seal(&self.keys.load(), &route, nonce))
            }
            None => ConnectionId::new(&rand::random::<[u8; CONNECTION_ID_LEN]>()),
        }
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
