//! What agents know of flows across restarts: an agent that starts knows none of the flows of its
//! target, and a registry agent none of the owners that it stored.
//!
//! An idle flow has no packets from which its agent could learn of it. Its registry agents therefore
//! return it to the agent when that starts again, which then registers it with the registry agents
//! of that time. An agent that exits hands over the owners of flows whose own agents are away.
//! Neither is proof that a flow is open, so no flow is reset because of it.

use std::{net::SocketAddrV4, sync::Arc};

use super::{core::AgentCore, lookup::REREGISTER_INTERVAL_MS};
use crate::{
    flow::{
        packet::{FlowKey, PacketFormat},
        table::{FlowTable, OwnedFlow},
    },
    forward::{decision::Decision, notices::OwnerEvidence},
    membership::instance::Instance,
};

/// Age difference to the newest flow of the same owner from which a flow counts as ended. An agent
/// registers its open flows together and at least once in `REREGISTER_INTERVAL_MS`.
const ENDED_AFTER_MS: u64 = REREGISTER_INTERVAL_MS + 1_000;

/// Flows that `owner` has registered and that had not ended when it last did so.
fn open_flows_of(table: &FlowTable, owner: SocketAddrV4) -> Vec<FlowKey> {
    let of_owner = || table.iter().filter(|entry| entry.owner == owner);
    let times = of_owner().map(|entry| entry.inserted_at_ms);
    let newest_at_ms = times.max().unwrap_or_default();
    let is_open = |entry: &OwnedFlow| newest_at_ms - entry.inserted_at_ms <= ENDED_AFTER_MS;
    let open = of_owner().filter(is_open);
    open.map(|entry| entry.flow).collect()
}

impl<F: PacketFormat> AgentCore<F> {
    /// Flows that an earlier incarnation of this agent has registered and of which no packet has been
    /// seen since.
    #[must_use]
    pub fn recovered_flows(&self) -> Vec<FlowKey> {
        self.recovered_flows
            .iter()
            .map(|owned| owned.flow)
            .collect()
    }

    /// Records the owner of flows, as sent by the owner or by another agent.
    pub(super) fn record_owner(
        &mut self,
        owner: SocketAddrV4,
        flows: Vec<FlowKey>,
        evidence: OwnerEvidence,
        now_ms: u64,
    ) {
        if evidence == OwnerEvidence::Registered {
            for flow in flows {
                self.flow_owners.insert(flow, owner, now_ms);
                self.recovered_owners.remove(flow);
            }
            return;
        }
        if owner == self.peering.local_instance().packet_address {
            self.recover_flows(flows, now_ms);
            return;
        }
        for flow in flows {
            self.recovered_owners.insert(flow, owner, now_ms);
        }
    }

    /// Records flows that an earlier incarnation of this agent has registered, and registers them
    /// again.
    fn recover_flows(&mut self, flows: Vec<FlowKey>, now_ms: u64) {
        let mut len = 0;
        for flow in flows {
            if self.flows.contains(flow) || self.recovered_flows.contains(flow) {
                continue;
            }
            let local_address = self.peering.local_instance().packet_address;
            self.recovered_flows.insert(flow, local_address, now_ms);
            self.register_flow(flow, OwnerEvidence::Recovered, now_ms);
            len += 1;
        }
        if len > 0 {
            self.target.checks.record_flows(true);
            self.peering
                .decisions
                .push(Decision::FlowsRecovered { len });
        }
    }

    /// Sends an agent that has just started the flows that its earlier incarnation has registered
    /// here.
    pub(super) fn return_flows(&mut self, agent: &Instance) {
        let owner = agent.packet_address;
        let mut flows = open_flows_of(&self.flow_owners, owner);
        flows.extend(open_flows_of(&self.recovered_owners, owner));
        if flows.is_empty() {
            return;
        }
        self.peering.decisions.push(Decision::FlowsReturned {
            agent: Arc::clone(&agent.name),
            len: flows.len(),
        });
        for flow in flows {
            let to = agent.control_address;
            let evidence = OwnerEvidence::Recovered;
            self.peering.outbox.push_owner(to, owner, flow, evidence);
        }
    }

    /// Sends the owners of flows to the registry agents that remain when this one exits, if the
    /// owners are away and cannot do so.
    pub fn hand_over_owners(&mut self, now_ms: u64) {
        let directory = &self.peering.directory;
        let members = directory.members().iter();
        let present = members.filter(|member| member.is_confirmed && member.forwards(now_ms));
        let mut present: Vec<_> = present.map(|m| m.instance.packet_address).collect();
        present.sort_unstable();
        let stored = self.flow_owners.iter().chain(self.recovered_owners.iter());
        let of_absent: Vec<_> = stored
            .filter(|owned| present.binary_search(&owned.owner).is_err())
            .collect();
        if of_absent.is_empty() {
            return;
        }
        self.peering.decisions.push(Decision::OwnersHandedOver {
            len: of_absent.len(),
        });
        for OwnedFlow { flow, owner, .. } in of_absent {
            self.send_owner(flow, owner, OwnerEvidence::Recovered, now_ms);
        }
    }
}
