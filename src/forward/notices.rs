//! Notices: control messages that instances send each other in UDP datagrams.

use std::net::SocketAddrV4;

use prost::Message;

use crate::{
    control::store::{Revision, StoreEra},
    flow::{packet::FlowKey, routes::RouteVersion},
    membership::{
        evacuation_set::{EvacuationSet, EvacuationVersion},
        instance::{Instance, Presence, TargetLoad},
    },
    proto::flow as wire,
};

/// Maximum number of flows in a notice, so that it fits into one datagram.
const MAX_FLOWS: usize = 50;
/// Maximum length that the encoding adds to an instance in a list, in bytes.
const MEMBER_OVERHEAD_LEN: usize = 16;
/// Maximum length of the instances in a notice, in bytes, so that it fits into one datagram.
const MAX_MEMBERS_LEN: usize = 1_200;

/// How the owner of a flow is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerEvidence {
    /// The owner itself says so: the flow was opened at its target.
    Registered,
    /// An earlier incarnation of the owner said so, or another agent did. The flow may have ended
    /// since.
    Recovered,
}

/// Part of the list of the instances known to one of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberList {
    /// Live instances, each with the time for which it has to be awaited if it is not heard from, in
    /// milliseconds; `None` from earlier builds.
    pub live: Vec<(Instance, Option<u32>)>,
    /// Agents that are silent, leaving or only listed in the store and may return with flows, with
    /// the time for which they have to be awaited, in milliseconds.
    pub awaited: Vec<(Instance, u32)>,
    /// Time for which the sender knows of every agent, in milliseconds; 0 if it is not known.
    pub history_ms: u32,
    /// Identifies the list among those of the sender.
    pub list_id: u32,
    /// Index of this part of the list, starting at 0.
    pub part: u32,
    /// Number of parts of the list; 0 if it is not known.
    pub parts: u32,
}

impl MemberList {
    fn to_message(&self) -> wire::Members {
        let awaited = self
            .awaited
            .iter()
            .map(|(instance, await_ms)| wire::AwaitedInstance {
                instance: Some(instance.to_message()),
                await_ms: *await_ms,
            });
        let await_ms = self.live.iter().map(|(_, await_ms)| *await_ms);
        wire::Members {
            instances: self.live.iter().map(|(i, _)| i.to_message()).collect(),
            awaited: awaited.collect(),
            history_ms: self.history_ms,
            await_ms: await_ms.collect::<Option<_>>().unwrap_or_default(),
            list_id: self.list_id,
            part: self.part,
            parts: self.parts,
        }
    }

    /// Converts a wire message to a list without the instances that are malformed.
    fn from_message(message: &wire::Members) -> Self {
        let live = message.instances.iter().enumerate();
        let live = live.filter_map(|(index, instance)| {
            let await_ms = message.await_ms.get(index).copied();
            Some((Instance::from_message(instance)?, await_ms))
        });
        let awaited = message.awaited.iter().filter_map(|awaited| {
            let instance = Instance::from_message(awaited.instance.as_ref()?)?;
            Some((instance, awaited.await_ms))
        });
        Self {
            live: live.collect(),
            awaited: awaited.collect(),
            history_ms: message.history_ms,
            list_id: message.list_id,
            part: message.part,
            parts: message.parts,
        }
    }

    fn is_empty(&self) -> bool {
        self.live.is_empty() && self.awaited.is_empty()
    }

    /// Splits the list into parts that fit into one datagram each; at least one.
    fn into_parts(self) -> Vec<Self> {
        let mut parts = Vec::new();
        let mut part = Self::default();
        let mut part_len = 0;
        let mut finish_if_full = |part: &mut Self, len: usize| {
            let len = len + MEMBER_OVERHEAD_LEN;
            if part_len + len > MAX_MEMBERS_LEN && !part.is_empty() {
                parts.push(std::mem::take(part));
                part_len = 0;
            }
            part_len += len;
        };
        for (instance, await_ms) in self.live {
            finish_if_full(&mut part, instance.to_message().encoded_len());
            part.live.push((instance, await_ms));
        }
        for (instance, await_ms) in self.awaited {
            finish_if_full(&mut part, instance.to_message().encoded_len());
            part.awaited.push((instance, await_ms));
        }
        parts.push(part);
        let len = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        for (index, part) in (0..).zip(&mut parts) {
            part.history_ms = self.history_ms;
            part.list_id = self.list_id;
            part.part = index;
            part.parts = len;
        }
        parts
    }
}

/// A control message from one instance to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Notice {
    /// State of the sender, which is alive. The flag tells whether the sender requests the list of
    /// instances known to the receiver.
    Presence(Box<Presence>, bool),
    /// Load of the sender's target.
    Load(TargetLoad),
    /// Flows held by the target of the agent `owner`.
    FlowOwner {
        /// Packet address of the agent.
        owner: SocketAddrV4,
        /// The flows.
        flows: Vec<FlowKey>,
        /// Whether the owner has opened these flows, or may have according to others.
        evidence: OwnerEvidence,
    },
    /// Part of the list of the instances known to the sender.
    Members(MemberList),
    /// The sender has queued SYNs and requests a free slot.
    SlotRequest,
    /// The sender reserves a free slot of its target for the receiver.
    SlotGrant,
}

impl Notice {
    /// Encodes the notice as a protobuf message.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        use wire::notice::Body;
        let body = match self {
            Self::Presence(presence, wants_members) => Body::Presence(wire::Presence {
                instance: Some(presence.instance.to_message()),
                is_leaving: presence.leaving_for_ms.is_some(),
                leaving_for_ms: presence.leaving_for_ms.unwrap_or_default(),
                wants_members: *wants_members,
                route_version: presence.route_version.number,
                route_era: presence.route_version.era.0,
                load: presence.load.as_ref().map(|load| load.to_message(true)),
                reaches_store: presence.reaches_store,
                is_in_rotation: presence.is_in_rotation,
                next_within_ms: presence.next_within_ms,
                receiver_was_draining: presence.receiver_was_draining,
                evacuated: evacuated_names(&presence.evacuations),
                evacuation_revision: presence.evacuations.version.revision.0,
                evacuation_era: presence.evacuations.version.era.0,
                limits_cold_targets: presence.limits_cold_targets,
                history_ms: presence.history_ms,
            }),
            Self::Load(load) => Body::Load(load.to_message(false)),
            Self::FlowOwner {
                owner,
                flows,
                evidence,
            } => {
                let message = wire::FlowOwner {
                    owner_ip: (*owner.ip()).into(),
                    owner_port: owner.port().into(),
                    flows: flows.iter().map(flow_message).collect(),
                };
                match evidence {
                    OwnerEvidence::Registered => Body::FlowOwner(message),
                    OwnerEvidence::Recovered => Body::RecoveredFlowOwner(message),
                }
            }
            Self::Members(list) => Body::Members(list.to_message()),
            Self::SlotRequest => Body::SlotRequest(wire::SlotRequest {}),
            Self::SlotGrant => Body::SlotGrant(wire::SlotGrant {}),
        };
        wire::Notice { body: Some(body) }.encode_to_vec()
    }

    /// Decodes a notice; `None` if it is malformed.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        use wire::notice::Body;
        Some(match wire::Notice::decode(datagram).ok()?.body? {
            Body::Presence(presence) => Self::Presence(
                Box::new(Presence {
                    instance: Instance::from_message(presence.instance.as_ref()?)?,
                    leaving_for_ms: presence.is_leaving.then_some(presence.leaving_for_ms),
                    route_version: RouteVersion::new(
                        presence.route_version,
                        StoreEra(presence.route_era),
                    ),
                    load: presence.load.as_ref().map(TargetLoad::from_message),
                    reaches_store: presence.reaches_store,
                    is_in_rotation: presence.is_in_rotation,
                    next_within_ms: presence.next_within_ms,
                    receiver_was_draining: presence.receiver_was_draining,
                    evacuations: evacuation_set(&presence),
                    limits_cold_targets: presence.limits_cold_targets,
                    history_ms: presence.history_ms,
                }),
                presence.wants_members,
            ),
            Body::Load(load) => Self::Load(TargetLoad::from_message(&load)),
            Body::FlowOwner(message) => flow_owner(&message, OwnerEvidence::Registered)?,
            Body::RecoveredFlowOwner(message) => flow_owner(&message, OwnerEvidence::Recovered)?,
            Body::SlotRequest(_) => Self::SlotRequest,
            Body::SlotGrant(_) => Self::SlotGrant,
            Body::Members(members) => Self::Members(MemberList::from_message(&members)),
        })
    }
}

fn evacuated_names(set: &EvacuationSet) -> Vec<String> {
    set.names().iter().map(ToString::to_string).collect()
}

fn evacuation_set(presence: &wire::Presence) -> EvacuationSet {
    let names = presence.evacuated.iter().map(|name| name.as_str().into());
    let revision = Revision(presence.evacuation_revision);
    let version = EvacuationVersion::new(StoreEra(presence.evacuation_era), revision);
    EvacuationSet::new(names.collect(), version)
}

fn flow_owner(message: &wire::FlowOwner, evidence: OwnerEvidence) -> Option<Notice> {
    Some(Notice::FlowOwner {
        owner: address(message.owner_ip, message.owner_port)?,
        flows: message.flows.iter().filter_map(flow_key).collect(),
        evidence,
    })
}

fn flow_message(flow: &FlowKey) -> wire::Flow {
    wire::Flow {
        caller_ip: (*flow.caller.ip()).into(),
        caller_port: flow.caller.port().into(),
        service_ip: (*flow.service.ip()).into(),
        service_port: flow.service.port().into(),
    }
}

fn flow_key(flow: &wire::Flow) -> Option<FlowKey> {
    Some(FlowKey {
        caller: address(flow.caller_ip, flow.caller_port)?,
        service: address(flow.service_ip, flow.service_port)?,
    })
}

/// Address from the wire fields; `None` if the port is out of range.
fn address(ip: u32, port: u32) -> Option<SocketAddrV4> {
    let port = u16::try_from(port).ok()?;
    Some(SocketAddrV4::new(ip.into(), port))
}

/// Notices to be sent, with their receivers' control addresses.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    notices: Vec<(SocketAddrV4, Notice)>,
}

impl Outbox {
    /// Adds a notice.
    pub fn push(&mut self, to: SocketAddrV4, notice: Notice) {
        self.notices.push((to, notice));
    }

    /// Adds the owner of a flow. Flows with the same owner, evidence and receiver share a notice as
    /// long as it has room.
    pub fn push_owner(
        &mut self,
        to: SocketAddrV4,
        owner: SocketAddrV4,
        flow: FlowKey,
        evidence: OwnerEvidence,
    ) {
        // The newest notices are the ones with room.
        for (receiver, notice) in self.notices.iter_mut().rev() {
            if let Notice::FlowOwner {
                owner: pending_owner,
                flows,
                evidence: pending_evidence,
            } = notice
                && *receiver == to
                && *pending_owner == owner
                && *pending_evidence == evidence
                && flows.len() < MAX_FLOWS
            {
                flows.push(flow);
                return;
            }
        }
        let flows = vec![flow];
        let notice = Notice::FlowOwner {
            owner,
            flows,
            evidence,
        };
        self.push(to, notice);
    }

    /// Adds a list of instances, split into as many notices as necessary.
    pub fn push_members(&mut self, to: SocketAddrV4, list: MemberList) {
        for part in list.into_parts() {
            self.push(to, Notice::Members(part));
        }
    }

    /// Removes and returns all notices.
    pub fn drain(&mut self) -> impl Iterator<Item = (SocketAddrV4, Notice)> + '_ {
        self.notices.drain(..)
    }

    /// Whether there are no notices to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}
