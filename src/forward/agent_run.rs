//! Drives an agent: one task moves all packets.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use slog::{Logger, info};
use tokio::time::{self, MissedTickBehavior};

use super::{
    agent::{AgentCore, AgentVerdict},
    decision::DecisionLog,
    links::{Command, Links},
    registrar::Learned,
    settings::{ForwardSettings, TargetSettings},
    socket::{MAX_BATCH, MAX_DATAGRAM_LEN, PacketSocket},
    target::Target,
};
use crate::{
    clock::Clock,
    control::store::LeasedStore,
    flow::packet::PacketFormat,
    membership::instance::Instance,
    observe::{
        counters::Event,
        metrics::{Metrics, RequestLabels},
    },
};

const TICK_INTERVAL_MS: u64 = 20;
/// Labels of measured requests: callers are not told apart, and only answers are measured.
const ALL_CALLERS: &str = "all";
const ANSWERED: &str = "answered";
/// Time for which a stopping agent goes on forwarding what others still send to it.
const LEAVE_GRACE_MS: u64 = 1_000;
/// Time after which an agent that hears no balancer reach the store asks it itself.
const STORE_SILENCE_MS: u64 = 2_000;
/// Time by which agents fetch newer routes later than balancers, which need them first.
const FETCH_DELAY_MS: u64 = 1_000;

/// An agent with its sockets.
#[derive(Debug)]
pub struct AgentDriver<F: PacketFormat, L> {
    core: AgentCore<F>,
    links: Links<L>,
    outbound: PacketSocket,
    target_address: SocketAddrV4,
    decisions: DecisionLog,
    metrics: Metrics,
    clock: Clock,
    caller_port: u16,
    store_heard_at_ms: u64,
    newer_since_ms: Option<u64>,
    log: Logger,
}

impl<F: PacketFormat, L: Copy + Send + Sync + 'static> AgentDriver<F, L> {
    /// Makes an agent; `outbound` takes the packets that its target sends.
    #[must_use]
    #[allow(clippy::too_many_arguments)] // Each is a part that only the caller has.
    pub fn new(
        settings: &ForwardSettings,
        target: &TargetSettings,
        own: Instance,
        format: F,
        links: Links<L>,
        outbound: PacketSocket,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        let clock = Clock::new();
        let now_ms = clock.now_ms();
        let seeds = settings.seeds.clone();
        let mut beside = Target::new(target.heartbeat_interval_ms);
        if let Some(service) = &target.service {
            beside = beside.with_expected_service(Arc::clone(service), now_ms);
        }
        Self {
            core: AgentCore::new(format, own, seeds, beside, now_ms),
            decisions: DecisionLog::new(log.clone(), links.counters.clone()),
            links,
            outbound,
            metrics,
            target_address: target.address,
            clock,
            caller_port: settings.caller_port,
            store_heard_at_ms: now_ms,
            newer_since_ms: None,
            log,
        }
    }

    /// Forwards until the process is asked to stop, and a little longer.
    pub async fn run<S: LeasedStore<Lease = L>>(mut self, store: S) {
        let mut buffer = [0; MAX_DATAGRAM_LEN];
        let mut ticks = time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ends_at_ms = u64::MAX;
        let mut takes_packets = false;
        while self.clock.now_ms() < ends_at_ms {
            tokio::select! {
                _ = self.links.packets.readable(), if takes_packets => self.read_inner(&mut buffer),
                _ = self.outbound.readable() => self.read_target(&mut buffer),
                _ = self.links.control.readable() => self.read_notices(&mut buffer),
                Some(learned) = self.links.learned.recv() => self.learn(learned),
                Some(command) = self.links.commands.recv() => {
                    if self.obey(command) && ends_at_ms == u64::MAX {
                        ends_at_ms = self.clock.now_ms() + LEAVE_GRACE_MS;
                    }
                }
                _ = ticks.tick() => self.tick(ends_at_ms == u64::MAX),
            }
            self.release();
            self.send_resets();
            self.measure();
            self.links.send_notices(&mut self.core.peering.outbox);
            let now_ms = self.clock.now_ms();
            takes_packets = takes_packets || self.core.takes_packets(now_ms);
            self.decisions
                .record(&mut self.core.peering.decisions, now_ms);
        }
        self.links.end_entry(&store, &self.log).await;
    }

    /// Obeys a command. Returns whether it asks to stop.
    fn obey(&mut self, command: Command) -> bool {
        let now_ms = self.clock.now_ms();
        match command {
            Command::Heartbeat(beat) => {
                self.core.heartbeat(beat, now_ms);
            }
            Command::TargetEnded(id) => self.core.target_ended(&id, now_ms),
            Command::Stop => {
                info!(self.log, "stopping"; "flows" => self.core.flows());
                let load = Some(self.core.load(now_ms));
                let version = self.core.route_version();
                self.core.peering.leave(version, load, now_ms);
                return true;
            }
        }
        false
    }

    fn read_inner(&mut self, buffer: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        for _ in 0..MAX_BATCH {
            let Some((len, _)) = self.links.packets.receive(buffer) else {
                return;
            };
            let verdict = self.core.inner_packet(&mut buffer[..len], now_ms);
            self.carry_out(&buffer[..len], verdict);
        }
    }

    fn read_target(&mut self, buffer: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        for _ in 0..MAX_BATCH {
            let Some((len, _)) = self.outbound.receive(buffer) else {
                return;
            };
            let verdict = self.core.target_packet(&mut buffer[..len], now_ms);
            self.carry_out(&buffer[..len], verdict);
        }
    }

    fn carry_out(&self, datagram: &[u8], verdict: AgentVerdict<F::Reset>) {
        match verdict {
            AgentVerdict::Target => {
                self.outbound.send(datagram, self.target_address);
                self.links.counters.count(Event::PacketForwarded);
            }
            AgentVerdict::Instance(address) => {
                self.links.packets.send(datagram, address);
                self.links.counters.count(Event::PacketForwarded);
            }
            AgentVerdict::Caller(caller) => {
                self.links.packets.send(datagram, self.at_caller(caller));
                self.links.counters.count(Event::PacketReturned);
            }
            AgentVerdict::Reset(caller, reset) => {
                self.links
                    .packets
                    .send(reset.as_ref(), self.at_caller(caller));
                self.links.counters.count(Event::ResetSent);
            }
            AgentVerdict::Drop => {}
        }
    }

    fn release(&mut self) {
        let now_ms = self.clock.now_ms();
        self.core.release(now_ms);
        self.core.grant_slots(now_ms);
        for (datagram, verdict) in self.core.released() {
            self.carry_out(&datagram, verdict);
        }
    }

    /// Records how long answers took, by the address that callers use.
    fn measure(&mut self) {
        for answer in self.core.answers() {
            let class = answer.flow.service.to_string();
            let labels = RequestLabels {
                class: &class,
                caller_group: ALL_CALLERS,
                outcome: ANSWERED,
            };
            // Both are milliseconds and far below the precision of a float.
            #[allow(clippy::cast_precision_loss)]
            let (took_ms, waited_ms) = (answer.took_ms as f64, answer.waited_ms as f64);
            self.metrics.record_request(labels, took_ms, waited_ms);
        }
    }

    fn at_caller(&self, mut caller: SocketAddrV4) -> SocketAddrV4 {
        caller.set_port(self.caller_port);
        caller
    }

    fn send_resets(&mut self) {
        for (caller, reset) in self.core.resets() {
            self.links
                .packets
                .send(reset.as_ref(), self.at_caller(caller));
            self.links.counters.count(Event::ResetSent);
        }
    }

    fn read_notices(&mut self, buffer: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        let core = &mut self.core;
        self.links
            .read_notices(buffer, |from, notice| core.notice(from, notice, now_ms));
    }

    fn learn(&mut self, learned: Learned) {
        let now_ms = self.clock.now_ms();
        match learned {
            Learned::Reached => self.core.peering.store_reached(now_ms),
            Learned::Instances(instances) => {
                self.core.members_read();
                let version = self.core.route_version();
                for instance in instances {
                    let load = Some(self.core.load(now_ms));
                    self.core.peering.learn(instance, version, load, now_ms);
                }
            }
            Learned::Routes(routes) => {
                if self.links.keep_routes(&routes) {
                    self.core
                        .set_routes(routes.version(), routes.idle_timeout_ms());
                }
            }
        }
    }

    fn tick(&mut self, is_running: bool) {
        let now_ms = self.clock.now_ms();
        self.core.tick(now_ms);
        self.links
            .set_ready(is_running && self.core.is_ready(now_ms));
        if self.core.peering.hears_of_store(now_ms) {
            self.store_heard_at_ms = now_ms;
        }
        let silent_ms = now_ms.saturating_sub(self.store_heard_at_ms);
        self.links.set_store_needed(silent_ms > STORE_SILENCE_MS);
        self.fetch_newer_routes(now_ms);
    }

    fn fetch_newer_routes(&mut self, now_ms: u64) {
        let version = self.core.route_version();
        let Some((address, _)) = self.core.peering.newer_routes(version, now_ms) else {
            self.newer_since_ms = None;
            return;
        };
        let since_ms = *self.newer_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= FETCH_DELAY_MS {
            self.newer_since_ms = Some(now_ms);
            self.links.fetch_routes(address);
        }
    }
}
