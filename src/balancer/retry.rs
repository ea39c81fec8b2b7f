//! Answers the packets that no agent gets: first packets and packets of lost flows.

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

/// Why the responder cannot be set up.
#[derive(Debug, Snafu)]
pub enum RetryError {
    /// The TLS library offers no cipher suite that QUIC needs.
    #[snafu(display("TLS cannot be set up: {source}"))]
    Tls {
        /// The underlying error.
        source: rustls::Error,
    },
    /// The cipher suite for Initial packets is missing.
    #[snafu(display("the TLS library lacks the cipher suite of Initial packets"))]
    InitialSuite {
        /// The underlying error.
        source: quinn_proto::crypto::rustls::NoInitialCipherSuite,
    },
}

/// How a first packet was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// With a Retry that names an agent.
    Retry,
    /// With a refusal, since no agent takes new flows.
    Refusal,
    /// With a version negotiation, or a stateless reset.
    Other,
    /// Not at all.
    Nothing,
}

/// Answers packets without keeping state of any flow.
pub struct Responder {
    endpoint: Endpoint,
    next_route: Arc<Mutex<Option<Route>>>,
}

impl std::fmt::Debug for Responder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Responder")
    }
}

impl Responder {
    /// Sets a responder up with the system's keys.
    ///
    /// # Errors
    ///
    /// Returns [`RetryError`] when TLS cannot be set up.
    pub fn new(keys: &SharedKeyRing) -> Result<Self, RetryError> {
        let next_route = Arc::new(Mutex::new(None));
        let mut config = EndpointConfig::new(Arc::new(StatelessResetKey::new(keys.clone())));
        let (generator_keys, generator_route) = (keys.clone(), Arc::clone(&next_route));
        config.cid_generator(move || {
            Box::new(RouteGenerator {
                keys: generator_keys.clone(),
                next_route: Arc::clone(&generator_route),
            })
        });
        config.min_reset_interval(Duration::ZERO);
        let server = ServerConfig::new(crypto()?, Arc::new(RetryTokenKey::new(keys.clone())));
        let endpoint = Endpoint::new(Arc::new(config), Some(Arc::new(server)), false, None);
        Ok(Self {
            endpoint,
            next_route,
        })
    }

    /// Writes the answer to a first packet into `out`; `route` names the agent that was chosen.
    pub fn answer_first(
        &mut self,
        caller: SocketAddr,
        packet: BytesMut,
        route: Option<Route>,
        out: &mut Vec<u8>,
    ) -> Answer {
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
                    Ok(_) => Answer::Retry,
                    Err(error) => {
                        out.clear();
                        let _ = self.endpoint.refuse(error.into_incoming(), out);
                        Answer::Refusal
                    }
                }
            }
            Some(DatagramEvent::NewConnection(incoming)) => {
                out.clear();
                let _ = self.endpoint.refuse(incoming, out);
                Answer::Refusal
            }
            Some(DatagramEvent::Response(_)) => Answer::Other,
            Some(DatagramEvent::ConnectionEvent(..)) | None => Answer::Nothing,
        }
    }

    /// Writes a stateless reset for a packet of a flow whose agent is dead, or a refusal while the
    /// flow is still being opened.
    pub fn answer_lost(
        &mut self,
        caller: SocketAddr,
        packet: BytesMut,
        out: &mut Vec<u8>,
    ) -> Answer {
        out.clear();
        match self
            .endpoint
            .handle(Instant::now(), caller, None, None, packet, out)
        {
            Some(DatagramEvent::Response(_)) => Answer::Other,
            Some(DatagramEvent::NewConnection(incoming)) => {
                out.clear();
                let _ = self.endpoint.refuse(incoming, out);
                Answer::Refusal
            }
            Some(DatagramEvent::ConnectionEvent(..)) | None => Answer::Nothing,
        }
    }
}

fn crypto() -> Result<Arc<QuicServerConfig>, RetryError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(TlsSnafu)?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(NoCertificate));
    let quic = QuicServerConfig::try_from(Arc::new(tls)).context(InitialSuiteSnafu)?;
    Ok(Arc::new(quic))
}

/// A balancer ends no connection, so it shows no certificate.
#[derive(Debug)]
struct NoCertificate;

impl ResolvesServerCert for NoCertificate {
    fn resolve(&self, _hello: rustls::server::ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        None
    }
}

/// Yields connection IDs that name the agent chosen last.
struct RouteGenerator {
    keys: SharedKeyRing,
    next_route: Arc<Mutex<Option<Route>>>,
}

impl ConnectionIdGenerator for RouteGenerator {
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
