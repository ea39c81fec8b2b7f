//! QUIC endpoint of an agent.

use std::{sync::Arc, time::Duration};

use quinn::{
    Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TokioRuntime,
    TransportConfig, VarInt,
    crypto::rustls::{NoInitialCipherSuite, QuicServerConfig},
};
use quinn_proto::ValidationTokenConfig;
use rustls::{
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use snafu::{ResultExt, Snafu};

use super::{connection_ids::AgentConnectionIdGenerator, socket::AgentSocket};
use crate::{
    settings::TlsIdentity,
    wire::{
        connection_id::Route,
        key_ring::SharedKeyRing,
        quic_keys::{RetryTokenKey, StatelessResetKey},
    },
};

const ALPN_HTTP3: &[u8] = b"h3";
const IDLE_TIMEOUT_MS: u32 = 30_000;
/// Interval of PING frames, below the idle timeout, so that connections with idle streams stay
/// open.
const KEEP_ALIVE_INTERVAL_MS: u64 = 10_000;
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
const CONNECTION_WINDOW_BYTES: u32 = 1 << 20;
const SEND_WINDOW_BYTES: u64 = 512 << 10;
const MAX_CONCURRENT_STREAMS: u32 = 128;
/// Upper bound of MTU discovery; leaves room for the envelope within an MTU of 1,500 bytes.
const MAX_UDP_PAYLOAD_LEN: u16 = 1_400;

/// Why the QUIC endpoint cannot be set up.
#[derive(Debug, Snafu)]
pub enum EndpointError {
    /// The endpoint cannot be created on the inner socket.
    #[snafu(display("cannot create the QUIC endpoint on the inner socket: {source}"))]
    Socket {
        /// The underlying error.
        source: std::io::Error,
    },
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
        source: NoInitialCipherSuite,
    },
}

/// Creates the QUIC endpoint on the agent's socket.
pub(crate) fn open(
    socket: AgentSocket,
    keys: &SharedKeyRing,
    route: Route,
    tls: &TlsIdentity,
) -> Result<Endpoint, EndpointError> {
    let mut config = EndpointConfig::new(Arc::new(StatelessResetKey::new(keys.clone())));
    let generator_keys = keys.clone();
    config.cid_generator(move || {
        Box::new(AgentConnectionIdGenerator::new(
            generator_keys.clone(),
            route,
        ))
    });
    config.min_reset_interval(Duration::from_millis(1));
    let server = server_config(keys, tls)?;
    let runtime = Arc::new(TokioRuntime);
    Endpoint::new_with_abstract_socket(config, Some(server), Arc::new(socket), runtime)
        .context(SocketSnafu)
}

/// Builds the server configuration for new connections, at startup and when the certificate is
/// reloaded.
pub(crate) fn server_config(
    keys: &SharedKeyRing,
    tls: &TlsIdentity,
) -> Result<ServerConfig, EndpointError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context(TlsSnafu)?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(FixedCertResolver(tls.certified_key())));
    config.alpn_protocols = vec![ALPN_HTTP3.to_vec()];
    let quic = QuicServerConfig::try_from(config).context(InitialSuiteSnafu)?;
    let token_key = Arc::new(RetryTokenKey::new(keys.clone()));
    let mut server = ServerConfig::new(Arc::new(quic), token_key);
    // NEW_TOKEN tokens would let later connections skip the Retry by which the balancer chooses
    // the agent.
    let mut tokens = ValidationTokenConfig::default();
    tokens.sent(0);
    server.validation_token_config(tokens);
    server.transport_config(Arc::new(transport()));
    Ok(server)
}

fn transport() -> TransportConfig {
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_UDP_PAYLOAD_LEN);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(Duration::from_millis(KEEP_ALIVE_INTERVAL_MS)))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(SEND_WINDOW_BYTES)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS))
        .mtu_discovery_config(Some(discovery))
        .datagram_receive_buffer_size(None);
    transport
}

/// Serves the same certificate for every server name.
#[derive(Debug)]
struct FixedCertResolver(Arc<CertifiedKey>);

impl ResolvesServerCert for FixedCertResolver {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.0))
    }
}
