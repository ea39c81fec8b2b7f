//! Settings of a process that forwards flows without a token.

use std::{net::SocketAddrV4, sync::Arc};

use rand::Rng;

use super::agent::warmup::ColdBounds;
use crate::membership::instance::{Instance, InstanceRole};

/// Settings of a balancer or an agent; fixed while the process runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardSettings {
    /// Name of this instance, unique among all instances.
    pub name: Arc<str>,
    /// Name of the failure domain that the instance runs in.
    pub failure_domain: Arc<str>,
    /// UDP address that receives the packets of flows.
    pub packet_address: SocketAddrV4,
    /// Address that receives notices over UDP and serves the route table over TCP.
    pub control_address: SocketAddrV4,
    /// TCP address that serves metrics.
    pub metrics_address: SocketAddrV4,
    /// UDP port at which callers receive packets, whatever the port of the flow.
    pub caller_port: u16,
    /// Control addresses of other instances, used for discovery while the store is unavailable.
    pub seeds: Vec<SocketAddrV4>,
    /// Bounds for the SYNs that cold targets are sent.
    pub cold_bounds: ColdBounds,
    /// Target of an agent; `None` for a balancer.
    pub target: Option<TargetSettings>,
}

/// The local target of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetSettings {
    /// UDP address at which the target receives packets.
    pub address: SocketAddrV4,
    /// UDP address to which the target sends packets.
    pub outbound_address: SocketAddrV4,
    /// Service that the target belongs to; `None` if it is unknown before the first heartbeat.
    pub service: Option<Arc<str>>,
    /// Interval between two heartbeats of the target, in milliseconds.
    pub heartbeat_interval_ms: u64,
}

impl ForwardSettings {
    /// Describes this instance, with a new random incarnation.
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
