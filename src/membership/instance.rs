//! What an instance says of itself.

use std::{net::SocketAddrV4, sync::Arc};

use crate::proto::flow as wire;

/// What an instance does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceRole {
    /// Takes callers' packets from the fabric.
    Balancer,
    /// Forwards between balancers and the target beside it.
    Agent,
}

/// One instance as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name, the same after a restart.
    pub name: Arc<str>,
    /// Random number drawn at each start.
    pub incarnation: u64,
    /// What the instance does.
    pub role: InstanceRole,
    /// Where the instance runs.
    pub failure_domain: Arc<str>,
    /// Takes flows' packets.
    pub packet_address: SocketAddrV4,
    /// Takes notices and fetches of the route table.
    pub control_address: SocketAddrV4,
}

impl Instance {
    /// The instance as a message.
    #[must_use]
    pub fn to_message(&self) -> wire::Instance {
        wire::Instance {
            name: self.name.to_string(),
            incarnation: self.incarnation,
            role: match self.role {
                InstanceRole::Balancer => wire::Role::Balancer,
                InstanceRole::Agent => wire::Role::Agent,
            }
            .into(),
            failure_domain: self.failure_domain.to_string(),
            ip: (*self.packet_address.ip()).into(),
            packet_port: self.packet_address.port().into(),
            control_port: self.control_address.port().into(),
        }
    }

    /// The instance of a message; `None` if a field makes no sense.
    #[must_use]
    pub fn from_message(message: &wire::Instance) -> Option<Self> {
        let role = match message.role() {
            wire::Role::Unspecified => return None,
            wire::Role::Balancer => InstanceRole::Balancer,
            wire::Role::Agent => InstanceRole::Agent,
        };
        if message.name.is_empty() || message.ip == 0 {
            return None;
        }
        let address = |port: u32| {
            let port = u16::try_from(port).ok().filter(|&port| port != 0)?;
            Some(SocketAddrV4::new(message.ip.into(), port))
        };
        Some(Self {
            name: message.name.as_str().into(),
            incarnation: message.incarnation,
            role,
            failure_domain: message.failure_domain.as_str().into(),
            packet_address: address(message.packet_port)?,
            control_address: address(message.control_port)?,
        })
    }
}

/// State of a target towards new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetState {
    /// The agent has not heard of its target yet.
    #[default]
    Unknown,
    /// The target takes new flows.
    Ready,
    /// The target finishes what it has.
    Draining,
    /// The target does not answer.
    Unresponsive,
    /// The agent has not heard of any target since its start, for longer than heartbeats take.
    Absent,
}

/// How busy a target is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// State towards new flows.
    pub state: TargetState,
    /// Service of the target.
    pub service: Option<Arc<str>>,
    /// Requests that the target runs at once.
    pub capacity: u32,
    /// Requests under way, those that wait included.
    pub running: u32,
    /// Open flows.
    pub flows: u32,
    /// Mean time from a request to its answer, in microseconds; 0 if not known.
    pub service_time_us: u32,
    /// How much longer the target is slow after its start, in milliseconds.
    pub cold_left_ms: u32,
}

impl TargetLoad {
    /// The load as a message; the service is named only `with_service`.
    #[must_use]
    pub fn to_message(&self, with_service: bool) -> wire::Load {
        let service = self.service.as_ref().filter(|_| with_service);
        wire::Load {
            state: match self.state {
                TargetState::Unknown => wire::TargetState::Unknown,
                TargetState::Ready => wire::TargetState::Ready,
                TargetState::Draining => wire::TargetState::Draining,
                TargetState::Unresponsive => wire::TargetState::Unresponsive,
                TargetState::Absent => wire::TargetState::Absent,
            }
            .into(),
            service: service.map(ToString::to_string).unwrap_or_default(),
            capacity: self.capacity,
            running: self.running,
            flows: self.flows,
            service_time_us: self.service_time_us,
            cold_left_ms: self.cold_left_ms,
        }
    }

    /// The load of a message.
    #[must_use]
    pub fn from_message(message: &wire::Load) -> Self {
        Self {
            state: match message.state() {
                wire::TargetState::Unknown => TargetState::Unknown,
                wire::TargetState::Ready => TargetState::Ready,
                wire::TargetState::Draining => TargetState::Draining,
                wire::TargetState::Unresponsive => TargetState::Unresponsive,
                wire::TargetState::Absent => TargetState::Absent,
            },
            service: Some(message.service.as_str())
                .filter(|service| !service.is_empty())
                .map(Into::into),
            capacity: message.capacity,
            running: message.running,
            flows: message.flows,
            service_time_us: message.service_time_us,
            cold_left_ms: message.cold_left_ms,
        }
    }
}

/// An instance's word that it lives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Presence {
    /// The sender.
    pub instance: Instance,
    /// The sender is about to exit.
    pub is_leaving: bool,
    /// Version of the sender's route table; 0 for none.
    pub route_version: u64,
    /// Load of the sender's target; only from agents.
    pub load: Option<TargetLoad>,
    /// The sender has heard of the store within the last seconds.
    pub reaches_store: bool,
    /// The fabric sends callers' packets to the sender.
    pub is_in_rotation: bool,
    /// Time within which the sender tells the receiver of itself again, in milliseconds.
    pub next_within_ms: u32,
}
