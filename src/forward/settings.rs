//! Settings of a process that forwards flows without a token.

use std::{net::SocketAddrV4, sync::Arc};

use rand::Rng;

use crate::membership::instance::{Instance, InstanceRole};

/// Everything such a process was told when it started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardSettings {
    /// Names this instance.
    pub name: Arc<str>,
    /// Names the failure domain that the instance runs in.
    pub failure_domain: Arc<str>,
    /// Takes flows' packets.
    pub packet_address: SocketAddrV4,
    /// Takes notices and fetches of the route table.
    pub control_address: SocketAddrV4,
    /// Serves metrics.
    pub metrics_address: SocketAddrV4,
    /// Port of callers that takes the packets meant for them.
    pub caller_port: u16,
    /// Control addresses through which others may be found while the store is away.
    pub seeds: Vec<SocketAddrV4>,
    /// Turns the process into an agent.
    pub target: Option<TargetSettings>,
}

/// The target beside an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetSettings {
    /// Takes the packets meant for the target.
    pub address: SocketAddrV4,
    /// Takes the packets that the target sends.
    pub outbound_address: SocketAddrV4,
    /// Service that the target belongs to, if it is known before its first heartbeat.
    pub service: Option<Arc<str>>,
    /// Pause between two heartbeats of the target, in milliseconds.
    pub heartbeat_interval_ms: u64,
}

impl ForwardSettings {
    /// The instance as it describes itself, with a new incarnation.
    #[must_use]
    pub fn new_instance(&self) -> Instance {
        Instance {
            name: Arc::clone(&self.name),
            incarnation: rand::rng().random(),
            role: match self.target {
                Some(_) => InstanceRole::Agent,
                None => InstanceRole::Balancer,
            },
            failure_domain: Arc::clone(&self.failure_domain),
            packet_address: self.packet_address,
            control_address: self.control_address,
        }
    }
}
