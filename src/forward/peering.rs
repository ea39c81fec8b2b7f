//! What balancers and agents do alike: tell of themselves, hear of others, follow the routes.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    decision::Decision,
    notices::{Notice, Outbox},
};
use crate::membership::{
    directory::{Directory, Member, MemberChange},
    instance::{Instance, InstanceRole, Presence, TargetLoad},
};

/// Shortest pause between two presences; [`crate::membership::directory::SUSPECT_AFTER_MS`] allows
/// for three lost ones.
pub const PRESENCE_INTERVAL_MS: u64 = 200;
/// Presences a second that a process sends at most: with more instances each is told less often,
/// and the traffic of a process does not grow with their number.
const PRESENCES_PER_S: u64 = 150;
/// Shortest pause between two reports of the load.
const LOAD_INTERVAL_MS: u64 = 20;
/// Reports of the load a second that an agent sends at most, to all receivers together.
const LOADS_PER_S: u64 = 700;
/// Pause between two requests for the instances that others know.
const MEMBERS_INTERVAL_MS: u64 = 2_000;
/// Time after the start in which others are asked at every presence.
const START_MS: u64 = 1_000;
/// Shortest pause between two checks for silent instances.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Time for which the store counts as reached after its last answer: longer than a watch waits.
const STORE_FRESH_MS: u64 = 12_500;

/// Longest pause between two reports of the load, which also say that the agent lives.
pub const LOAD_WITHIN_MS: u32 = 200;

/// Whether `member` places flows on a target with this load.
fn takes_loads(member: &Member, load: &TargetLoad) -> bool {
    member.instance.role == InstanceRole::Balancer || member.load.service == load.service
}

/// The part of a process that knows the others.
#[derive(Debug)]
pub struct Peering {
    /// The instances.
    pub directory: Directory,
    /// Notices that wait to be sent.
    pub outbox: Outbox,
    /// What was decided since the log was last written.
    pub decisions: Vec<Decision>,
    own: Instance,
    seeds: Vec<SocketAddrV4>,
    is_leaving: bool,
    is_in_rotation: bool,
    started_at_ms: u64,
    told_at_ms: Option<u64>,
    asked_at_ms: Option<u64>,
    swept_at_ms: u64,
    store_reached_at_ms: Option<u64>,
}

impl Peering {
    /// Makes the part for `own`, which tells of itself to `seeds` until it knows others.
    #[must_use]
    pub fn new(own: Instance, seeds: Vec<SocketAddrV4>, now_ms: u64) -> Self {
        Self {
            directory: Directory::new(Arc::clone(&own.name)),
            outbox: Outbox::default(),
            decisions: Vec::new(),
            seeds,
            own,
            is_leaving: false,
            is_in_rotation: false,
            started_at_ms: now_ms,
            told_at_ms: None,
            asked_at_ms: None,
            swept_at_ms: now_ms,
            store_reached_at_ms: None,
        }
    }

    /// This instance.
    #[must_use]
    pub fn own(&self) -> &Instance {
        &self.own
    }

    /// Whether this instance is about to exit.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Notes that the store has answered.
    pub fn store_reached(&mut self, now_ms: u64) {
        self.store_reached_at_ms = Some(now_ms);
    }

    /// Time since the start, in milliseconds.
    #[must_use]
    pub fn uptime_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_at_ms)
    }

    /// Whether this instance, or a live one that it hears, has reached the store lately.
    #[must_use]
    pub fn reaches_store(&self, now_ms: u64) -> bool {
        self.store_reached_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < STORE_FRESH_MS)
    }

    /// This instance's word for the others.
    #[must_use]
    pub fn presence(&self, route_version: u64, load: Option<TargetLoad>, now_ms: u64) -> Presence {
        Presence {
            instance: self.own.clone(),
            is_leaving: self.is_leaving,
            route_version,
            load,
            reaches_store: self.reaches_store(now_ms),
            is_in_rotation: self.is_in_rotation && !self.is_leaving,
            next_within_ms: u32::try_from(self.presence_interval_ms()).unwrap_or(u32::MAX),
        }
    }

    /// Pause between two presences, in milliseconds.
    fn presence_interval_ms(&self) -> u64 {
        let others = self.directory.members().len() as u64;
        PRESENCE_INTERVAL_MS.max(others * 1_000 / PRESENCES_PER_S)
    }

    /// Pause between two reports of the load, in milliseconds.
    #[must_use]
    pub fn load_interval_ms(&self, load: &TargetLoad, now_ms: u64) -> u64 {
        let receivers = self.load_receivers(load, now_ms).count() as u64;
        let spread_ms = receivers * 1_000 / LOADS_PER_S;
        spread_ms.clamp(LOAD_INTERVAL_MS, LOAD_WITHIN_MS.into())
    }

    /// Those who place flows on the own target.
    fn load_receivers(&self, load: &TargetLoad, now_ms: u64) -> impl Iterator<Item = &Member> {
        self.directory.members().iter().filter(move |member| {
            takes_loads(member, load) && member.is_alive(now_ms) && !self.directory.is_local(member)
        })
    }

    /// Says whether the fabric sends callers' packets here. Returns whether that is new.
    pub fn set_in_rotation(&mut self, is_in_rotation: bool) -> bool {
        std::mem::replace(&mut self.is_in_rotation, is_in_rotation) != is_in_rotation
    }

    /// Tells everybody that this instance is about to exit.
    pub fn leave(&mut self, route_version: u64, load: Option<TargetLoad>, now_ms: u64) {
        self.is_leaving = true;
        self.tell_all(route_version, load, now_ms);
    }

    /// Tells of this instance when it is time to.
    pub fn tick(&mut self, route_version: u64, load: Option<TargetLoad>, now_ms: u64) {
        let is_due = |at_ms: Option<u64>, interval_ms: u64| {
            at_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= interval_ms)
        };
        if is_due(self.told_at_ms, self.presence_interval_ms()) {
            self.tell_all(route_version, load, now_ms);
        }
        if now_ms.saturating_sub(self.swept_at_ms) >= SWEEP_INTERVAL_MS {
            self.swept_at_ms = now_ms;
            let gone = self.directory.remove_silent(now_ms);
            let forgotten = gone.into_iter().map(|name| Decision::Forgotten { name });
            self.decisions.extend(forgotten);
        }
    }

    /// Tells everybody of this instance now.
    pub fn tell_all(&mut self, route_version: u64, load: Option<TargetLoad>, now_ms: u64) {
        self.told_at_ms = Some(now_ms);
        let asked_ago_ms = self
            .asked_at_ms
            .map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        let wants_members =
            asked_ago_ms >= MEMBERS_INTERVAL_MS || self.uptime_ms(now_ms) < START_MS;
        if wants_members {
            self.asked_at_ms = Some(now_ms);
        }
        let presence = Box::new(self.presence(route_version, load, now_ms));
        // One of the members is asked, another one each time.
        let members = self.directory.members();
        let others = members.iter().filter(|m| !self.directory.is_local(m));
        let asked = now_ms / PRESENCE_INTERVAL_MS % (members.len().max(1) as u64);
        for (index, member) in others.enumerate() {
            let asks = wants_members && index as u64 == asked;
            let mut presence = presence.clone();
            let own_load = presence.load.as_ref();
            if own_load.is_some_and(|load| takes_loads(member, load)) {
                presence.next_within_ms = LOAD_WITHIN_MS;
            }
            let notice = Notice::Presence(presence, asks);
            self.outbox.push(member.instance.control_address, notice);
        }
        let is_known = |seed: &SocketAddrV4| {
            members
                .iter()
                .any(|member| member.instance.control_address == *seed && member.is_confirmed)
        };
        for seed in self.seeds.iter().filter(|seed| !is_known(seed)) {
            if wants_members && *seed != self.own.control_address {
                let notice = Notice::Presence(presence.clone(), true);
                self.outbox.push(*seed, notice);
            }
        }
    }

    /// Learns of an instance from the store or from another instance, and tells it of this one.
    pub fn learn(
        &mut self,
        instance: Instance,
        route_version: u64,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) {
        let address = instance.control_address;
        let (name, incarnation) = (Arc::clone(&instance.name), instance.incarnation);
        if let Some(change) = self.directory.add_unconfirmed(instance, now_ms) {
            self.decisions.push(Decision::Member {
                name,
                incarnation,
                change,
            });
            let presence = Box::new(self.presence(route_version, load, now_ms));
            self.outbox.push(address, Notice::Presence(presence, false));
        }
    }

    /// Takes an instance's own word; answers a newcomer and one that asks.
    pub fn hear(
        &mut self,
        presence: Presence,
        wants_members: bool,
        route_version: u64,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) {
        let address = presence.instance.control_address;
        let name = Arc::clone(&presence.instance.name);
        let incarnation = presence.instance.incarnation;
        let change = self.directory.handle_presence(presence, now_ms);
        if change == Some(MemberChange::Joined) || wants_members {
            let own = Box::new(self.presence(route_version, load, now_ms));
            self.outbox.push(address, Notice::Presence(own, false));
        }
        if wants_members {
            let members = self.directory.members().iter();
            let live = members.filter(|m| m.is_confirmed && m.is_alive(now_ms));
            let instances: Vec<_> = live.map(|member| member.instance.clone()).collect();
            self.outbox.push_members(address, &instances);
        }
        if let Some(change) = change {
            self.decisions.push(Decision::Member {
                name,
                incarnation,
                change,
            });
        }
    }

    /// Takes an agent's report of its load.
    pub fn hear_load(&mut self, from: SocketAddrV4, load: &TargetLoad, now_ms: u64) {
        let Some(change) = self.directory.handle_load(from, load, now_ms) else {
            return;
        };
        if let Some(member) = self.directory.by_control_address(from) {
            self.decisions.push(Decision::Member {
                name: Arc::clone(&member.instance.name),
                incarnation: member.instance.incarnation,
                change,
            });
        }
    }

    /// Sends the load to those who place flows on the target.
    pub fn tell_load(&mut self, load: &TargetLoad, now_ms: u64) {
        let receivers = self.load_receivers(load, now_ms);
        let addresses: Vec<_> = receivers.map(|m| m.instance.control_address).collect();
        for address in addresses {
            self.outbox.push(address, Notice::Load(load.clone()));
        }
    }

    /// A live instance with newer routes than `version`, and its version.
    #[must_use]
    pub fn newer_routes(&self, version: u64, now_ms: u64) -> Option<(SocketAddrV4, u64)> {
        let members = self.directory.members().iter();
        members
            .filter(|m| m.is_alive(now_ms) && m.route_version > version)
            .max_by_key(|member| member.route_version)
            .map(|member| (member.instance.control_address, member.route_version))
    }

    /// Whether a live balancer reaches the store, so that an agent need not ask it itself.
    #[must_use]
    pub fn hears_of_store(&self, now_ms: u64) -> bool {
        self.directory.members().iter().any(|member| {
            member
                .reached_store_at_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < STORE_FRESH_MS)
                && member.instance.role == InstanceRole::Balancer
                && member.is_alive(now_ms)
        })
    }
}
