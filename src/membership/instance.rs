//! Self-description of an instance, and the load and presence messages that it sends.

use std::{net::SocketAddrV4, sync::Arc};

use super::evacuation_set::EvacuationSet;
use crate::{flow::routes::RouteVersion, proto::flow as wire};

/// Maximum length of the name and of the failure domain of an instance, in bytes, so that a notice
/// about it fits into a datagram.
pub(super) const MAX_NAME_LEN: usize = 255;

/// Role of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceRole {
    /// Receives callers' packets from the fabric and sends them to agents.
    Balancer,
    /// Forwards packets between balancers and its local target.
    Agent,
}

/// Identity and addresses of an instance, as announced by the instance itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Name; does not change across restarts.
    pub name: Arc<str>,
    /// Random number generated at each start, which tells restarts apart.
    pub incarnation: u64,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Failure domain in which the instance runs.
    pub failure_domain: Arc<str>,
    /// Address that receives the packets of flows.
    pub packet_address: SocketAddrV4,
    /// Address that receives notices (UDP) and requests for the route table (TCP).
    pub control_address: SocketAddrV4,
}

impl Instance {
    /// Converts the instance to its wire message.
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

    /// Converts a wire message to an instance; returns `None` if a field is missing, invalid or too
    /// long.
    #[must_use]
    pub fn from_message(message: &wire::Instance) -> Option<Self> {
        let role = match message.role() {
            wire::Role::Unspecified => return None,
            wire::Role::Balancer => InstanceRole::Balancer,
            wire::Role::Agent => InstanceRole::Agent,
        };
        let is_too_long = message.name.len().max(message.failure_domain.len()) > MAX_NAME_LEN;
        if message.name.is_empty() || is_too_long || message.ip == 0 {
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

/// Whether a target accepts new flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetState {
    /// The agent has not received a heartbeat from its target yet.
    #[default]
    Unknown,
    /// The target accepts new flows.
    Ready,
    /// The target only completes its open flows.
    Draining,
    /// The target does not respond.
    Unresponsive,
    /// The agent has not heard from any target since its start, for longer than the heartbeat
    /// interval.
    Absent,
}

/// Maximum number of classes whose responses a load report contains.
pub const MAX_CLASSES: usize = 8;

/// Recent responses of a target to the requests of a class, which is an address that callers use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClassResponses {
    /// Hash of the address.
    pub tag: u16,
    /// Median time from a request to the first packet of its response, in milliseconds.
    pub latency_ms: u32,
    /// Median length of the data of that packet, in bytes.
    pub first_packet_len: u32,
    /// Number of responses that the medians are taken from.
    pub samples: u32,
}

impl ClassResponses {
    fn to_message(self) -> wire::ClassResponses {
        wire::ClassResponses {
            tag: self.tag.into(),
            latency_ms: self.latency_ms,
            first_packet_len: self.first_packet_len,
            samples: self.samples,
        }
    }

    fn from_message(message: &wire::ClassResponses) -> Option<Self> {
        Some(Self {
            tag: u16::try_from(message.tag).ok()?,
            latency_ms: message.latency_ms,
            first_packet_len: message.first_packet_len,
            samples: message.samples,
        })
    }
}

/// Load of a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetLoad {
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Service that the target belongs to; `None` if not known or, in a load report, not specified.
    pub service: Option<Arc<str>>,
    /// Maximum number of requests that the target runs concurrently.
    pub capacity: u32,
    /// Number of requests in progress, including queued ones.
    pub running: u32,
    /// Number of open flows.
    pub flows: u32,
    /// Mean time from a request to its response, in microseconds; 0 if not known.
    pub service_time_us: u32,
    /// Remaining time of the slow phase after the start of the target, in milliseconds; 0 once it
    /// is over.
    pub cold_left_ms: u32,
    /// Whether the target is suspected to fail requests, so that it gets no new flows.
    pub is_suspect: bool,
    /// Responses of the target by class; empty in most reports.
    pub class_responses: Vec<ClassResponses>,
    /// Number of SYNs that the agent of a cold target would admit now; `None` if there is no limit.
    pub cold_allowance: Option<u32>,
}

impl TargetLoad {
    /// Converts the load to its wire message; the service is included only if `with_service` is
    /// set.
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
            is_suspect: self.is_suspect,
            class_responses: self
                .class_responses
                .iter()
                .map(|class| class.to_message())
                .collect(),
            cold_allowance: self
                .cold_allowance
                .map_or(0, |allowance| allowance.saturating_add(1)),
        }
    }

    /// Converts a wire message to a load.
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
            is_suspect: message.is_suspect,
            class_responses: message
                .class_responses
                .iter()
                .take(MAX_CLASSES)
                .filter_map(ClassResponses::from_message)
                .collect(),
            cold_allowance: message.cold_allowance.checked_sub(1),
        }
    }
}

/// Presence message by which an instance announces that it is alive.
#[derive(Clone, Debug, Eq, PartialEq)]
#[allow(clippy::struct_excessive_bools)] // These are independent conditions.
pub struct Presence {
    /// The sender.
    pub instance: Instance,
    /// Time since the sender first announced that it is about to exit, in milliseconds; `None` if it
    /// has not.
    pub leaving_for_ms: Option<u32>,
    /// Version of the sender's route table.
    pub route_version: RouteVersion,
    /// Load of the sender's target; `None` from balancers.
    pub load: Option<TargetLoad>,
    /// Whether the sender has had contact with the store within the last seconds.
    pub reaches_store: bool,
    /// Whether the fabric sends callers' packets to the sender.
    pub is_in_rotation: bool,
    /// Time within which the sender will send the receiver its next message, in milliseconds.
    pub next_within_ms: u32,
    /// Whether the target of the receiver was draining according to the last report of the
    /// receiver's previous incarnation.
    pub receiver_was_draining: bool,
    /// Evacuated failure domains as known to the sender; unknown in messages of earlier builds.
    pub evacuations: EvacuationSet,
    /// Whether a service in the sender's route table limits the new flows of cold targets.
    pub limits_cold_targets: bool,
    /// Time for which the sender knows of every agent, in milliseconds; 0 if it is not known. See
    /// [`crate::forward::history`].
    pub history_ms: u32,
}
