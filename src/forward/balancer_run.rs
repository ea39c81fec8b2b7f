//! Drives a balancer: one task moves all packets.

use std::{sync::Arc, time::Duration};

use slog::{Logger, info};
use tokio::time::{self, MissedTickBehavior};

use super::{
    balancer::{BalancerCore, Verdict},
    decision::DecisionLog,
    links::{Command, Links},
    registrar::Learned,
    rotation::Rotation,
    settings::ForwardSettings,
    socket::{MAX_BATCH, MAX_DATAGRAM_LEN},
};
use crate::{
    clock::Clock, control::store::LeasedStore, flow::packet::PacketFormat,
    membership::instance::Instance, observe::counters::Event,
};

const TICK_INTERVAL_MS: u64 = 50;

/// A balancer with its sockets.
#[derive(Debug)]
pub struct BalancerDriver<F, L> {
    core: BalancerCore<F>,
    links: Links<L>,
    decisions: DecisionLog,
    rotation: Rotation,
    clock: Clock,
    caller_port: u16,
    log: Logger,
}

impl<F: PacketFormat, L: Copy + Send + Sync + 'static> BalancerDriver<F, L> {
    /// Makes a balancer.
    #[must_use]
    pub fn new(
        settings: &ForwardSettings,
        own: Instance,
        format: F,
        links: Links<L>,
        log: Logger,
    ) -> Self {
        let clock = Clock::new();
        Self {
            core: BalancerCore::new(format, own, settings.seeds.clone(), clock.now_ms()),
            decisions: DecisionLog::new(log.clone(), links.counters.clone()),
            links,
            rotation: Rotation::new(),
            clock,
            caller_port: settings.caller_port,
            log,
        }
    }

    /// Forwards until the process is asked to stop, and then until the fabric sends no more.
    pub async fn run<S: LeasedStore<Lease = L>>(mut self, store: S) {
        let mut buffer = [0; MAX_DATAGRAM_LEN];
        let mut ticks = time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut takes_packets = false;
        while !self.rotation.is_over(self.clock.now_ms()) {
            tokio::select! {
                _ = self.links.packets.readable(), if takes_packets => self.forward(&mut buffer),
                _ = self.links.control.readable() => self.read_notices(&mut buffer),
                Some(learned) = self.links.learned.recv() => self.learn(learned),
                Some(command) = self.links.commands.recv() => {
                    if matches!(command, Command::Stop) {
                        info!(self.log, "stopping"; "flows" => self.core.flows());
                        self.rotation.stop(self.clock.now_ms());
                        self.tick();
                    }
                }
                _ = ticks.tick() => self.tick(),
            }
            self.links.send_notices(&mut self.core.peering.outbox);
            let now_ms = self.clock.now_ms();
            takes_packets = takes_packets || self.core.takes_packets(now_ms);
            self.decisions
                .record(&mut self.core.peering.decisions, now_ms);
        }
        let version = self.core.routes().version();
        self.core.peering.leave(version, None, self.clock.now_ms());
        self.links.send_notices(&mut self.core.peering.outbox);
        self.links.end_entry(&store, &self.log).await;
    }

    fn forward(&mut self, buffer: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        for _ in 0..MAX_BATCH {
            let Some((len, _)) = self.links.packets.receive(buffer) else {
                return;
            };
            match self.core.caller_packet(&mut buffer[..len], now_ms) {
                Verdict::Send(agent) => {
                    self.links.packets.send(&buffer[..len], agent);
                    self.links.counters.count(Event::PacketForwarded);
                }
                Verdict::Reset(caller, reset) => {
                    let mut to = caller;
                    to.set_port(self.caller_port);
                    self.links.packets.send(reset.as_ref(), to);
                    self.links.counters.count(Event::ResetSent);
                }
                Verdict::Drop => {}
            }
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
        let version = self.core.routes().version();
        match learned {
            Learned::Reached => self.core.peering.store_reached(now_ms),
            Learned::Instances(instances) => {
                for instance in instances {
                    self.core.peering.learn(instance, version, None, now_ms);
                }
            }
            Learned::Routes(routes) => {
                if self.links.keep_routes(&routes) {
                    self.core.set_routes(Arc::clone(&routes));
                    let version = routes.version();
                    self.core.peering.tell_all(version, None, now_ms);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        let domain = Arc::clone(&self.core.peering.own().failure_domain);
        let can_leave = self
            .core
            .peering
            .directory
            .can_leave_rotation(&domain, now_ms);
        let was_ready = self.rotation.is_ready();
        self.rotation
            .update(self.core.is_ready(now_ms), can_leave, now_ms);
        let is_ready = self.rotation.is_ready();
        if is_ready != was_ready {
            info!(self.log, "readiness changed"; "is_ready" => is_ready, "can_leave" => can_leave);
        }
        self.links.set_ready(is_ready);
        let version = self.core.routes().version();
        let is_in_rotation = self.rotation.is_in_rotation(now_ms);
        if self.core.peering.set_in_rotation(is_in_rotation) {
            self.core.peering.tell_all(version, None, now_ms);
        }
        self.core.tick(now_ms);
        if let Some((address, _)) = self.core.peering.newer_routes(version, now_ms) {
            self.links.fetch_routes(address);
        }
    }
}
