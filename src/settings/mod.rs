//! Settings of a process, read and resolved at startup.

pub mod check;
mod resolve;
mod tls;

use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
};

use snafu::{ResultExt, Snafu, ensure};

use crate::{
    proto::{fields_table::SETTINGS_SETTINGS, settings as raw},
    wire::key_ring::SharedKeyRing,
};
use check::ValidationError;
pub use tls::TlsIdentity;

/// Settings of a process.
#[derive(Debug)]
pub struct Settings {
    /// Name of this instance in logs and listings.
    pub name: Arc<str>,
    /// Region of this instance.
    pub region: Arc<str>,
    /// Failure domain of this instance.
    pub failure_domain: Arc<str>,
    /// UDP and TCP address for traffic from other bamboowind processes.
    pub inner_address: SocketAddr,
    /// Inner addresses of the seed balancers, used to discover the other balancers.
    pub peers: Vec<SocketAddr>,
    /// Keys that authenticate traffic between processes.
    pub keys: SharedKeyRing,
    /// Administration API; `None` disables it.
    pub admin: Option<AdminSettings>,
    /// Minimum level of log messages.
    pub log_level: slog::Level,
    /// Role of the process, with the settings of that role.
    pub role: Role,
}

/// Settings of the administration API.
#[derive(Clone, Debug)]
pub struct AdminSettings {
    /// Listen address.
    pub address: SocketAddr,
    /// Bearer token required by all endpoints except health and metrics.
    pub token: Arc<str>,
}

/// Role of a process.
#[derive(Debug)]
pub enum Role {
    /// Forwards packets between callers and agents.
    Balancer(BalancerSettings),
    /// Terminates QUIC connections next to a target.
    Agent(AgentSettings),
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Services that the balancer accepts packets for, sorted by number.
    pub services: Vec<ServiceSettings>,
    /// Access to the platform's store; `None` if this balancer does not use it.
    pub store: Option<StoreSettings>,
    /// File with the policy to use until one is received; `None` for the built-in initial policy.
    pub initial_policy_file: Option<PathBuf>,
}

/// A service and its address for callers.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of the service on the wire; must be the same in all processes.
    pub number: u16,
    /// UDP address that receives callers' packets.
    pub address: SocketAddr,
}

/// Access to the platform's store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Base URL of the HTTP API, without a trailing slash.
    pub url: Arc<str>,
    /// Key of the policy.
    pub policy_key: Arc<str>,
    /// Timeout of a request, in milliseconds.
    pub request_timeout_ms: u64,
    /// Maximum wait time of a watch, in milliseconds.
    pub watch_timeout_ms: u64,
    /// Maximum number of balancers per failure domain that watch the store.
    pub watchers: u32,
    /// Lifetime of a watcher lease without renewal, in milliseconds.
    pub lease_ttl_ms: u64,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the service that the target provides.
    pub service: Arc<str>,
    /// Number of the service on the wire; must be the same in all processes.
    pub service_number: u16,
    /// Address to which requests are forwarded.
    pub target_address: SocketAddr,
    /// Certificate presented to callers, with its private key.
    pub tls: TlsIdentity,
}

/// Reason why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The document is not valid YAML.
    #[snafu(display("the document is not valid YAML: {source}"))]
    Yaml {
        /// Underlying parser error.
        source: serde_yaml_ng::Error,
    },
    /// The document is invalid.
    #[snafu(display("{}", ErrorList(errors)))]
    Invalid {
        /// All validation errors.
        errors: Vec<ValidationError>,
    },
}

/// Displays one error per line.
struct ErrorList<'a>(&'a [ValidationError]);

impl fmt::Display for ErrorList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl Settings {
    /// Reads, validates and resolves a settings file. Relative paths in it are resolved against its
    /// directory.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with all validation errors if the file cannot be used.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let base_dir = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, base_dir)
    }

    /// Validates and resolves a settings document. Relative paths in it are resolved against
    /// `base_dir`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with all validation errors if the document cannot be used.
    pub fn parse(text: &str, base_dir: &Path) -> Result<Self, SettingsError> {
        let document: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).context(YamlSnafu)?;
        let errors = check::validate(&document, SETTINGS_SETTINGS);
        ensure!(errors.is_empty(), InvalidSnafu { errors });
        let raw: raw::Settings = serde_yaml_ng::from_value(document).context(YamlSnafu)?;
        resolve::resolve(&raw, base_dir).map_err(|errors| SettingsError::Invalid { errors })
    }
}
