//! The settings of one process, resolved once when it starts.

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
use check::Fault;
pub use tls::TlsIdentity;

/// Everything one process was told when it started.
#[derive(Debug)]
pub struct Settings {
    /// Names this instance in logs and lists.
    pub name: Arc<str>,
    /// Names the region that the instance runs in.
    pub region: Arc<str>,
    /// Names the failure domain that the instance runs in.
    pub failure_domain: Arc<str>,
    /// Receives datagrams and frames from other bamboowind processes.
    pub inner_address: SocketAddr,
    /// Leads to the first balancers, through which the others are found.
    pub peers: Vec<SocketAddr>,
    /// Seals and opens everything between the processes.
    pub keys: SharedKeyRing,
    /// Turns the administration API on.
    pub admin: Option<AdminSettings>,
    /// Sets the lowest level that is logged.
    pub log_level: slog::Level,
    /// Decides between balancer and agent.
    pub role: Role,
}

/// Address and token of the administration API.
#[derive(Clone, Debug)]
pub struct AdminSettings {
    /// Receives the calls.
    pub address: SocketAddr,
    /// Must come with every call but health and metrics.
    pub token: Arc<str>,
}

/// What the process does.
#[derive(Debug)]
pub enum Role {
    /// Forwards datagrams.
    Balancer(BalancerSettings),
    /// Ends QUIC beside a target.
    Agent(AgentSettings),
}

/// What only a balancer needs.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Services that packets are taken for, sorted by number.
    pub services: Vec<ServiceSettings>,
    /// Turns the access to the platform's store on.
    pub store: Option<StoreSettings>,
    /// Gives the policy to use when nobody else has one.
    pub initial_policy_file: Option<PathBuf>,
}

/// One service and the address that its callers use.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Names the service.
    pub name: Arc<str>,
    /// Numbers the service, the same in every process.
    pub number: u16,
    /// Receives the callers' packets.
    pub address: SocketAddr,
}

/// Access to the platform's store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Leads to the store's HTTP interface.
    pub url: Arc<str>,
    /// Holds the policy.
    pub policy_key: Arc<str>,
    /// Bounds one call.
    pub request_timeout_ms: u64,
    /// Bounds the wait of one watch.
    pub watch_timeout_ms: u64,
    /// Limits the balancers per failure domain that watch the store.
    pub watchers: u32,
    /// Sets the lifetime of a watcher's lease.
    pub lease_ttl_ms: u64,
}

/// What only an agent needs.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Names the service that the target runs.
    pub service: Arc<str>,
    /// Numbers the service, the same in every process.
    pub service_number: u16,
    /// Receives the requests.
    pub target_address: SocketAddr,
    /// Is shown to callers.
    pub tls: TlsIdentity,
}

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The file is not YAML.
    #[snafu(display("the document is not valid YAML: {source}"))]
    Yaml {
        /// The underlying error.
        source: serde_yaml_ng::Error,
    },
    /// The document has faults.
    #[snafu(display("{}", FaultList(faults)))]
    Faulty {
        /// All faults that were found.
        faults: Vec<Fault>,
    },
}

struct FaultList<'a>(&'a [Fault]);

impl fmt::Display for FaultList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let line_end = if index == 0 { "" } else { "\n" };
            write!(formatter, "{line_end}{fault}")?;
        }
        Ok(())
    }
}

impl Settings {
    /// Reads, checks and resolves a settings file; relative paths in it start at its folder.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, folder)
    }

    /// Checks and resolves a settings document; relative paths in it start at `folder`.
    ///
    /// # Errors
    ///
    /// Returns every fault of the document.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, SettingsError> {
        let document: serde_yaml_ng::Value = serde_yaml_ng::from_str(text).context(YamlSnafu)?;
        let faults = check::faults(&document, SETTINGS_SETTINGS);
        ensure!(faults.is_empty(), FaultySnafu { faults });
        let raw: raw::Settings = serde_yaml_ng::from_value(document).context(YamlSnafu)?;
        resolve::resolve(&raw, folder).map_err(|faults| SettingsError::Faulty { faults })
    }
}
