//! Membership protocol shared by balancers and agents: presence messages, load reports, exchange of
//! instance lists and discovery of newer routes.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    decision::Decision,
    evacuation::{EvacuationSource, Evacuations},
    history::{History, HistoryGap},
    notices::{MemberList, Notice, Outbox},
};
use crate::{
    control::store::StoreReply,
    flow::routes::RouteVersion,
    membership::{
        directory::{Directory, Member, MemberChange},
        evacuation_set::EvacuationSet,
        instance::{ClassResponses, Instance, InstanceRole, Presence, TargetLoad},
    },
};

/// Minimum interval between two presence messages.
/// [`crate::membership::directory::SUSPECT_AFTER_MS`] tolerates the loss of three at this interval.
pub const MIN_PRESENCE_INTERVAL_MS: u64 = 200;
/// Maximum number of presence messages that an instance sends per second. With more instances each
/// one receives fewer, so the traffic per instance is bounded.
const MAX_PRESENCES_PER_S: u64 = 150;
/// Minimum interval between two load reports.
const MIN_LOAD_INTERVAL_MS: u64 = 20;
/// Maximum number of load reports that an agent sends per second, to all receivers together.
const MAX_LOADS_PER_S: u64 = 400;
/// Maximum number of balancers that an agent reports its load to, and how many of them may be in
/// other failure domains. Balancers place flows in another domain only while their own has no room.
const MAX_LOAD_BALANCERS: usize = 24;
const REMOTE_LOAD_BALANCERS: usize = 8;
/// Maximum number of siblings that an agent reports its load to, and how many of them may be in other
/// failure domains.
const MAX_LOAD_SIBLINGS: usize = 16;
const REMOTE_LOAD_SIBLINGS: usize = 6;
/// Interval between two requests for the instances known to others.
const MEMBERS_REQUEST_INTERVAL_MS: u64 = 2_000;
/// Time after startup during which every round of presence messages requests the known instances.
const STARTUP_MS: u64 = 1_000;
/// Interval between two requests for the list of an instance with a longer history.
const HISTORY_REQUEST_INTERVAL_MS: u64 = 100;
/// Interval between two checks for silent instances.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Time for which the store counts as reachable after its last response. It is longer than the
/// timeout of a watch, during which no response arrives.
const STORE_CONTACT_TTL_MS: u64 = 12_500;

/// Maximum interval between two load reports, which also serve as liveness signals.
pub const MAX_LOAD_INTERVAL_MS: u32 = 200;

/// Whether `member` may place flows on a target with this load. Balancers do, and so do the other
/// agents of the service.
fn wants_load(member: &Member, load: &TargetLoad) -> bool {
    member.instance.role == InstanceRole::Balancer || member.load.service == load.service
}

/// Chooses the instances that an agent reports its load to, so that its traffic does not grow with
/// the deployment. Returns their control addresses, sorted.
///
/// Each agent chooses by a rendezvous order of its own, so every balancer is chosen by about as many
/// agents. Balancers of the agent's failure domain come first, because they place flows there at
/// the lowest cost.
///
/// ```
/// use bamboowind::forward::peering::choose_load_receivers;
/// use bamboowind::membership::{directory::Directory, instance::TargetLoad};
///
/// let directory = Directory::new("agent-1".into());
/// assert!(choose_load_receivers(&directory, "a", &TargetLoad::default(), 0).is_empty());
/// ```
#[must_use]
pub fn choose_load_receivers(
    directory: &Directory,
    failure_domain: &str,
    load: &TargetLoad,
    now_ms: u64,
) -> Vec<SocketAddrV4> {
    let candidates = directory.members().iter().filter(|member| {
        wants_load(member, load) && member.is_staying(now_ms) && !directory.is_local(member)
    });
    let mut ranked: Vec<_> = candidates
        .map(|member| (directory.local_weight(member.name_hash()), member))
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let (balancers, siblings): (Vec<&Member>, Vec<&Member>) = ranked
        .into_iter()
        .map(|(_, member)| member)
        .partition(|member| member.instance.role == InstanceRole::Balancer);
    let balancers = nearest(
        balancers,
        failure_domain,
        MAX_LOAD_BALANCERS,
        REMOTE_LOAD_BALANCERS,
    );
    let siblings = nearest(
        siblings,
        failure_domain,
        MAX_LOAD_SIBLINGS,
        REMOTE_LOAD_SIBLINGS,
    );
    let chosen = balancers.chain(siblings);
    let mut addresses: Vec<_> = chosen.map(|m| m.instance.control_address).collect();
    addresses.sort_unstable();
    addresses
}

/// The first `max_len` of `members`, at most `max_remote` of them outside `failure_domain`. Members of
/// the domain take the places that others leave free.
fn nearest<'a>(
    members: Vec<&'a Member>,
    failure_domain: &str,
    max_len: usize,
    max_remote: usize,
) -> impl Iterator<Item = &'a Member> {
    let (local, mut remote): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|member| *member.instance.failure_domain == *failure_domain);
    remote.truncate(max_remote);
    let max_local = max_len - remote.len();
    local.into_iter().take(max_local).chain(remote)
}

/// An instance that was added to the directory.
#[derive(Debug)]
struct Added {
    name: Arc<str>,
    incarnation: u64,
    control_address: SocketAddrV4,
}

impl From<&Instance> for Added {
    fn from(instance: &Instance) -> Self {
        Self {
            name: Arc::clone(&instance.name),
            incarnation: instance.incarnation,
            control_address: instance.control_address,
        }
    }
}

/// Knowledge of this process about the other instances, and its own state as announced to them.
#[derive(Debug)]
pub struct Peering {
    /// All known instances.
    pub directory: Directory,
    /// Notices to be sent.
    pub outbox: Outbox,
    /// Decisions that have not been logged yet.
    pub decisions: Vec<Decision>,
    /// Whether a service in the route table limits the new flows of cold targets.
    pub limits_cold_targets: bool,
    /// The failure domains that get no new flows.
    pub evacuations: Evacuations,
    local_instance: Instance,
    /// Control addresses to send presence messages to until an instance there has been heard from.
    seeds: Vec<SocketAddrV4>,
    /// Time at which this instance announced that it is about to exit; `None` if it has not.
    leaving_since_ms: Option<u64>,
    /// Whether the fabric sends callers' packets to this instance; always `false` for agents.
    is_in_rotation: bool,
    /// Startup time of this process.
    started_at_ms: u64,
    /// Time of the last presence message to all instances; `None` before the first one.
    presence_sent_at_ms: Option<u64>,
    /// Time of the last request for a list of instances; `None` before the first one.
    members_requested_at_ms: Option<u64>,
    /// How far back this process knows of every agent.
    history: History,
    /// Time of the last request for the list of an instance with a longer history; `None` before
    /// the first one.
    history_requested_at_ms: Option<u64>,
    /// Number of these requests.
    history_requests: usize,
    /// Time of the last check for silent instances.
    swept_at_ms: u64,
    /// Time of the last response of the store to this instance; `None` before the first one.
    store_reached_at_ms: Option<u64>,
    /// Control addresses of the instances that receive the load reports, sorted; empty at balancers.
    load_receivers: Vec<SocketAddrV4>,
    /// Time at which `load_receivers` was last chosen; `None` before the first time.
    receivers_chosen_at_ms: Option<u64>,
}

impl Peering {
    /// Creates the membership state of `local_instance`. Presence messages are also sent to
    /// `seeds` until an instance at that address has been heard from.
    #[must_use]
    pub fn new(local_instance: Instance, seeds: Vec<SocketAddrV4>, now_ms: u64) -> Self {
        Self {
            directory: Directory::new(Arc::clone(&local_instance.name)),
            outbox: Outbox::default(),
            decisions: Vec::new(),
            limits_cold_targets: false,
            evacuations: Evacuations::new(),
            seeds,
            local_instance,
            leaving_since_ms: None,
            is_in_rotation: false,
            started_at_ms: now_ms,
            presence_sent_at_ms: None,
            members_requested_at_ms: None,
            history: History::new(now_ms),
            history_requested_at_ms: None,
            history_requests: 0,
            swept_at_ms: now_ms,
            store_reached_at_ms: None,
            load_receivers: Vec::new(),
            receivers_chosen_at_ms: None,
        }
    }

    /// This instance.
    #[must_use]
    pub fn local_instance(&self) -> &Instance {
        &self.local_instance
    }

    /// Whether this instance is about to exit.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_since_ms.is_some()
    }

    /// Records that the store has responded to this instance.
    pub fn record_store_contact(&mut self, now_ms: u64) {
        self.store_reached_at_ms = Some(now_ms);
    }

    /// Time since startup, in milliseconds.
    #[must_use]
    pub fn uptime_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_at_ms)
    }

    /// Whether the store has responded to this instance recently.
    #[must_use]
    pub fn reaches_store(&self, now_ms: u64) -> bool {
        self.store_reached_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < STORE_CONTACT_TTL_MS)
    }

    /// The current presence of this instance.
    #[must_use]
    pub fn presence(
        &self,
        route_version: RouteVersion,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) -> Presence {
        Presence {
            instance: self.local_instance.clone(),
            leaving_for_ms: self
                .leaving_since_ms
                .map(|since_ms| u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX)),
            route_version,
            load,
            reaches_store: self.reaches_store(now_ms),
            is_in_rotation: self.is_in_rotation && !self.is_leaving(),
            next_within_ms: u32::try_from(self.presence_interval_ms()).unwrap_or(u32::MAX),
            receiver_was_draining: false,
            evacuations: self.evacuations.set().clone(),
            limits_cold_targets: self.limits_cold_targets,
            history_ms: self.announced_history_ms(now_ms),
        }
    }

    /// History of this process as other instances are told it, in milliseconds. It is never 0,
    /// which stands for an earlier build.
    fn announced_history_ms(&self, now_ms: u64) -> u32 {
        let history_ms = self.history.history_ms(now_ms).max(1);
        u32::try_from(history_ms).unwrap_or(u32::MAX)
    }

    /// Time for which this process knows of every agent, in milliseconds.
    #[must_use]
    pub fn history_ms(&self, now_ms: u64) -> u64 {
        self.history.history_ms(now_ms)
    }

    /// Why this process may not know of every agent that may hold flows; see [`History::gap`].
    #[must_use]
    pub fn history_gap(&self, listed_for_ms: u64, now_ms: u64) -> Option<HistoryGap> {
        self.history.gap(&self.directory, listed_for_ms, now_ms)
    }

    /// Requests the list of a live instance with a longer history, if there is one: another one at
    /// each attempt, those of the own failure domain first.
    fn request_history(
        &mut self,
        route_version: RouteVersion,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < HISTORY_REQUEST_INTERVAL_MS;
        if self.history_requested_at_ms.is_some_and(is_recent) {
            return;
        }
        let knows_more = |member: &&Member| {
            let history_ms = member.history_ms(now_ms).unwrap_or_default();
            member.is_confirmed
                && member.forwards(now_ms)
                && !self.directory.is_local(member)
                && self.history.is_behind(history_ms, now_ms)
        };
        let domain = &self.local_instance.failure_domain;
        let mut members: Vec<_> = self.directory.members().iter().filter(knows_more).collect();
        members.sort_by_key(|member| member.instance.failure_domain != *domain);
        let Some(index) = self.history_requests.checked_rem(members.len()) else {
            return;
        };
        let address = members[index].instance.control_address;
        let presence = Box::new(self.presence(route_version, load, now_ms));
        self.outbox.push(address, Notice::Presence(presence, true));
        self.history_requested_at_ms = Some(now_ms);
        self.history_requests += 1;
    }

    /// Handles a part of a list of instances from the one at control address `from`.
    pub fn handle_members(
        &mut self,
        from: SocketAddrV4,
        list: &MemberList,
        route_version: RouteVersion,
        load: Option<&TargetLoad>,
        now_ms: u64,
    ) {
        for (instance, await_ms) in &list.live {
            self.add_instance(instance.clone(), route_version, load.cloned(), now_ms);
            if let Some(await_ms) = await_ms {
                let await_ms = u64::from(*await_ms);
                self.directory.await_live(&instance.name, await_ms, now_ms);
            }
        }
        for (agent, await_ms) in &list.awaited {
            let (agent, await_ms) = (agent.clone(), u64::from(*await_ms));
            let added = Added::from(&agent);
            if let Some(change) = self.directory.await_agent(agent, await_ms, now_ms) {
                self.announce_to_added(added, change, route_version, load.cloned(), now_ms);
            }
        }
        let previous_ms = self.history.history_ms(now_ms);
        // Small differences come from the delay of the messages.
        let is_behind = self.history.is_behind(list.history_ms.into(), now_ms);
        if self.history.record_part(from, list, now_ms) && is_behind {
            self.decisions.push(Decision::HistoryExtended {
                from,
                history_ms: self.history.history_ms(now_ms),
                previous_ms,
                uptime_ms: self.uptime_ms(now_ms),
            });
        }
    }

    /// Sends a presence message to an instance that was added to the directory.
    fn announce_to_added(
        &mut self,
        added: Added,
        change: MemberChange,
        route_version: RouteVersion,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) {
        self.decisions.push(Decision::MemberChanged {
            name: added.name,
            incarnation: added.incarnation,
            change,
        });
        let presence = Box::new(self.presence(route_version, load, now_ms));
        let notice = Notice::Presence(presence, false);
        self.outbox.push(added.control_address, notice);
    }

    /// The list of the instances known to this one, as it is sent to others.
    fn member_list(&self, now_ms: u64) -> MemberList {
        let to_u32 = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let live = self.directory.live(now_ms);
        let awaited = self.directory.awaited(now_ms);
        MemberList {
            live: live
                .map(|(instance, ms)| (instance.clone(), Some(to_u32(ms))))
                .collect(),
            awaited: awaited
                .map(|(instance, ms)| (instance.clone(), to_u32(ms)))
                .collect(),
            history_ms: self.announced_history_ms(now_ms),
            // Only tells apart the lists of a few seconds.
            list_id: to_u32(now_ms & u64::from(u32::MAX)),
            ..MemberList::default()
        }
    }

    /// Adopts a set of evacuated failure domains if it is newer than the known one. Returns whether
    /// the evacuated domains have changed.
    pub fn adopt_evacuations(
        &mut self,
        set: &EvacuationSet,
        source: EvacuationSource,
        now_ms: u64,
    ) -> bool {
        let is_changed = self.evacuations.adopt(set, now_ms);
        if is_changed {
            self.apply_evacuations(source, now_ms);
        }
        is_changed
    }

    fn apply_evacuations(&mut self, source: EvacuationSource, now_ms: u64) {
        let names = self.evacuations.evacuated(now_ms);
        self.directory.set_evacuated(names.clone());
        self.decisions.push(Decision::EvacuationsChanged {
            names,
            version: self.evacuations.version(),
            source,
        });
    }

    /// Whether the failure domain of this instance is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, now_ms: u64) -> bool {
        let domain = &self.local_instance.failure_domain;
        self.evacuations.is_evacuated(domain, now_ms)
    }

    /// Time at which this process learned that its failure domain was returned to service; `None` if it
    /// is evacuated or was not evacuated during the lifetime of this process.
    #[must_use]
    pub fn returned_to_service_at_ms(&self) -> Option<u64> {
        let domain = &self.local_instance.failure_domain;
        self.evacuations.returned_at_ms(domain)
    }

    /// Current interval between two presence messages, in milliseconds.
    fn presence_interval_ms(&self) -> u64 {
        let others = self.directory.members().len() as u64;
        MIN_PRESENCE_INTERVAL_MS.max(others * 1_000 / MAX_PRESENCES_PER_S)
    }

    /// Current interval between two load reports, in milliseconds.
    #[must_use]
    pub fn load_interval_ms(&self) -> u64 {
        let receivers = self.load_receivers.len() as u64;
        let interval_ms = receivers * 1_000 / MAX_LOADS_PER_S;
        interval_ms.clamp(MIN_LOAD_INTERVAL_MS, MAX_LOAD_INTERVAL_MS.into())
    }

    /// Chooses the receivers of load reports again when that is due. An instance that is no longer
    /// one is told when it will be sent the next message, so that it does not suspect this one.
    pub fn update_load_receivers(
        &mut self,
        route_version: RouteVersion,
        load: &TargetLoad,
        now_ms: u64,
    ) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < MAX_LOAD_INTERVAL_MS.into();
        if self.receivers_chosen_at_ms.is_some_and(is_recent) {
            return;
        }
        self.receivers_chosen_at_ms = Some(now_ms);
        let domain = &self.local_instance.failure_domain;
        let chosen = choose_load_receivers(&self.directory, domain, load, now_ms);
        let previous = std::mem::replace(&mut self.load_receivers, chosen);
        for address in previous {
            if self.load_receivers.binary_search(&address).is_err() {
                let presence = self.presence(route_version, Some(load.clone()), now_ms);
                let notice = Notice::Presence(Box::new(presence), false);
                self.outbox.push(address, notice);
            }
        }
    }

    /// Sets whether the fabric sends callers' packets to this instance. Returns whether that has
    /// changed.
    pub fn set_in_rotation(&mut self, is_in_rotation: bool) -> bool {
        std::mem::replace(&mut self.is_in_rotation, is_in_rotation) != is_in_rotation
    }

    /// Announces to all instances that this one is about to exit.
    pub fn leave(&mut self, route_version: RouteVersion, load: Option<TargetLoad>, now_ms: u64) {
        self.leaving_since_ms.get_or_insert(now_ms);
        self.broadcast_presence(route_version, load, now_ms);
    }

    /// Sends a presence message when it is due, and removes silent instances.
    pub fn tick(&mut self, route_version: RouteVersion, load: Option<TargetLoad>, now_ms: u64) {
        if self.evacuations.tick(now_ms) {
            self.apply_evacuations(EvacuationSource::Expiry, now_ms);
        }
        let is_due = |at_ms: Option<u64>, interval_ms: u64| {
            at_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= interval_ms)
        };
        if is_due(self.presence_sent_at_ms, self.presence_interval_ms()) {
            self.broadcast_presence(route_version, load.clone(), now_ms);
        }
        self.request_history(route_version, load, now_ms);
        if now_ms.saturating_sub(self.swept_at_ms) >= SWEEP_INTERVAL_MS {
            self.swept_at_ms = now_ms;
            let removed = self.directory.remove_silent(now_ms);
            let decisions = removed
                .into_iter()
                .map(|name| Decision::MemberRemoved { name });
            self.decisions.extend(decisions);
        }
    }

    /// Sends a presence message to all known instances. While a list of instances is due, also
    /// sends one to the seeds that have not been heard from.
    pub fn broadcast_presence(
        &mut self,
        route_version: RouteVersion,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) {
        self.presence_sent_at_ms = Some(now_ms);
        let since_request_ms = self
            .members_requested_at_ms
            .map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        let wants_members =
            since_request_ms >= MEMBERS_REQUEST_INTERVAL_MS || self.uptime_ms(now_ms) < STARTUP_MS;
        if wants_members {
            self.members_requested_at_ms = Some(now_ms);
        }
        let presence = Box::new(self.presence(route_version, load, now_ms));
        // A list of instances is requested from a single member, which varies over time.
        let members = self.directory.members();
        let others = members.iter().filter(|m| !self.directory.is_local(m));
        let requested_index = now_ms / MIN_PRESENCE_INTERVAL_MS % (members.len().max(1) as u64);
        for (index, member) in others.enumerate() {
            let requests_members = wants_members && index as u64 == requested_index;
            let mut presence = presence.clone();
            let address = member.instance.control_address;
            if self.load_receivers.binary_search(&address).is_ok() {
                presence.next_within_ms = MAX_LOAD_INTERVAL_MS;
            }
            let notice = Notice::Presence(presence, requests_members);
            self.outbox.push(member.instance.control_address, notice);
        }
        let is_known = |seed: &SocketAddrV4| {
            members
                .iter()
                .any(|member| member.instance.control_address == *seed && member.is_confirmed)
        };
        for seed in self.seeds.iter().filter(|seed| !is_known(seed)) {
            if wants_members && *seed != self.local_instance.control_address {
                let notice = Notice::Presence(presence.clone(), true);
                self.outbox.push(*seed, notice);
            }
        }
    }

    /// Handles the full list of instances in the store. Returns the number of live instances that
    /// it lacks.
    pub fn handle_listing(
        &mut self,
        listing: StoreReply<Vec<Instance>>,
        route_version: RouteVersion,
        load: Option<&TargetLoad>,
        now_ms: u64,
    ) -> usize {
        let StoreReply {
            era,
            value: instances,
        } = listing;
        let names = instances.iter().map(|i| Arc::clone(&i.name)).collect();
        for instance in instances {
            self.add_instance(instance, route_version, load.cloned(), now_ms);
        }
        self.directory.set_listed(names, era, now_ms);
        let members = self.directory.members().iter();
        let live = members.filter(|m| m.is_confirmed && m.is_staying(now_ms) && !m.is_listed);
        live.filter(|m| !self.directory.is_local(m)).count()
    }

    /// Adds an instance that was read from the store or named by another instance, and sends it
    /// a presence message if it is new.
    pub fn add_instance(
        &mut self,
        instance: Instance,
        route_version: RouteVersion,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) {
        let added = Added::from(&instance);
        if let Some(change) = self.directory.add_unconfirmed(instance, now_ms) {
            self.announce_to_added(added, change, route_version, load, now_ms);
        }
    }

    /// Handles a presence message and returns what has changed. Replies with a presence message if
    /// the sender is new, and with a presence message and the known instances if it requests them.
    pub fn handle_presence(
        &mut self,
        presence: Presence,
        wants_members: bool,
        route_version: RouteVersion,
        load: Option<TargetLoad>,
        now_ms: u64,
    ) -> Option<MemberChange> {
        let address = presence.instance.control_address;
        let name = Arc::clone(&presence.instance.name);
        let incarnation = presence.instance.incarnation;
        self.evacuations.record_presence(now_ms);
        let source = EvacuationSource::Instance(Arc::clone(&name));
        let is_evacuation_news = self.adopt_evacuations(&presence.evacuations, source, now_ms);
        let change = self.directory.handle_presence(presence, now_ms);
        if change == Some(MemberChange::Joined) || wants_members {
            let sender = self.directory.member(&name);
            let reply = Box::new(Presence {
                receiver_was_draining: sender.is_some_and(|member| member.was_draining),
                ..self.presence(route_version, load.clone(), now_ms)
            });
            self.outbox.push(address, Notice::Presence(reply, false));
        }
        if wants_members {
            let list = self.member_list(now_ms);
            self.outbox.push_members(address, list);
        }
        self.request_history(route_version, load, now_ms);
        if let Some(change) = change.clone() {
            self.decisions.push(Decision::MemberChanged {
                name,
                incarnation,
                change,
            });
        }
        // Balancers pass the news on at once, since some instances may hear only from them. Agents
        // do so with their next message, which keeps the number of messages low.
        if is_evacuation_news && self.local_instance.role == InstanceRole::Balancer {
            self.broadcast_presence(route_version, None, now_ms);
        }
        change
    }

    /// Handles the load report of an agent.
    pub fn handle_load(&mut self, from: SocketAddrV4, load: &TargetLoad, now_ms: u64) {
        let Some(change) = self.directory.handle_load(from, load, now_ms) else {
            return;
        };
        if let Some(member) = self.directory.by_control_address(from) {
            self.decisions.push(Decision::MemberChanged {
                name: Arc::clone(&member.instance.name),
                incarnation: member.instance.incarnation,
                change,
            });
        }
    }

    /// Sends a load report to its receivers. Agents are also sent the responses by class, with which
    /// they compare those of their own targets.
    pub fn broadcast_load(&mut self, load: &TargetLoad, class_responses: &[ClassResponses]) {
        for address in &self.load_receivers {
            let mut load = load.clone();
            let receiver = self.directory.by_control_address(*address);
            if receiver.is_some_and(|member| member.instance.role == InstanceRole::Agent) {
                load.class_responses = class_responses.to_vec();
            }
            self.outbox.push(*address, Notice::Load(load));
        }
    }

    /// Control address and route version of the live instance with the newest route table, if that
    /// is newer than `version`.
    #[must_use]
    pub fn newer_routes(
        &self,
        version: RouteVersion,
        now_ms: u64,
    ) -> Option<(SocketAddrV4, RouteVersion)> {
        let members = self.directory.members().iter();
        members
            .filter(|m| m.is_staying(now_ms) && m.route_version > version)
            .max_by_key(|member| member.route_version)
            .map(|member| (member.instance.control_address, member.route_version))
    }

    /// Whether a live balancer has reported that it reaches the store, so that this agent need not
    /// watch the store itself.
    #[must_use]
    pub fn balancer_reaches_store(&self, now_ms: u64) -> bool {
        self.directory.members().iter().any(|member| {
            member
                .reached_store_at_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < STORE_CONTACT_TTL_MS)
                && member.instance.role == InstanceRole::Balancer
                && member.is_staying(now_ms)
        })
    }
}
