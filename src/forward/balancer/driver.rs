//! Event loop of a balancer. A single task forwards all packets.

use std::{sync::Arc, time::Duration};

use slog::{Logger, info};
use tokio::time::{self, MissedTickBehavior};

use super::{
    core::{BalancerCore, Verdict},
    rotation::Rotation,
};
use crate::{
    clock::Clock,
    control::store::LeasedStore,
    flow::packet::PacketFormat,
    forward::{
        decision::DecisionLog,
        driver_io::{Command, DriverIo},
        evacuation::EvacuationSource,
        registrar::ClusterUpdate,
        settings::ForwardSettings,
        socket::{MAX_BATCH, MAX_DATAGRAM_LEN},
    },
    membership::instance::Instance,
    observe::counters::Event,
};

/// Interval between two runs of the periodic work.
const TICK_INTERVAL_MS: u64 = 50;

/// A balancer with its sockets and its event loop.
#[derive(Debug)]
pub struct BalancerDriver<F, L> {
    core: BalancerCore<F>,
    io: DriverIo<L>,
    decisions: DecisionLog,
    rotation: Rotation,
    clock: Clock,
    /// UDP port at which callers receive packets, whatever the port of the flow.
    caller_port: u16,
    log: Logger,
}

impl<F: PacketFormat, L: Copy + Send + Sync + 'static> BalancerDriver<F, L> {
    /// Creates a balancer.
    #[must_use]
    pub fn new(
        settings: &ForwardSettings,
        local_instance: Instance,
        format: F,
        io: DriverIo<L>,
        log: Logger,
    ) -> Self {
        let clock = Clock::new();
        Self {
            core: BalancerCore::new(
                format,
                local_instance,
                settings.seeds.clone(),
                clock.now_ms(),
            ),
            decisions: DecisionLog::new(log.clone(), io.counters.clone()),
            io,
            rotation: Rotation::new(),
            clock,
            caller_port: settings.caller_port,
            log,
        }
    }

    /// Forwards packets until a stop command, and then until the fabric has stopped sending packets
    /// here.
    pub async fn run<S: LeasedStore<Lease = L>>(mut self, store: S) {
        let mut buffer = [0; MAX_DATAGRAM_LEN];
        let mut ticks = time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut accepts_packets = false;
        while !self.rotation.has_left(self.clock.now_ms()) {
            tokio::select! {
                _ = self.io.packet_socket.readable(), if accepts_packets =>
                    self.forward_packets(&mut buffer),
                _ = self.io.control_socket.readable() => self.read_notices(&mut buffer),
                Some(update) = self.io.updates.recv() => self.handle_update(update),
                Some(command) = self.io.commands.recv() => {
                    if matches!(command, Command::Stop) {
                        info!(self.log, "stopping"; "flows" => self.core.flows());
                        self.rotation.stop(self.clock.now_ms());
                        self.tick();
                    }
                }
                _ = ticks.tick() => self.tick(),
            }
            self.io.send_notices(&mut self.core.peering.outbox);
            let now_ms = self.clock.now_ms();
            accepts_packets = accepts_packets || self.core.accepts_packets(now_ms);
            self.decisions
                .record(&mut self.core.peering.decisions, now_ms);
        }
        let version = self.core.routes().version();
        self.core.peering.leave(version, None, self.clock.now_ms());
        self.io.send_notices(&mut self.core.peering.outbox);
        self.io.deregister(&store, &self.log).await;
    }

    /// Forwards a batch of packets from the fabric.
    fn forward_packets(&mut self, buffer: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        for _ in 0..MAX_BATCH {
            let Some((len, _)) = self.io.packet_socket.receive(buffer) else {
                return;
            };
            match self.core.handle_caller_packet(&mut buffer[..len], now_ms) {
                Verdict::Send(agent) => {
                    self.io.packet_socket.send(&buffer[..len], agent);
                    self.io.counters.count(Event::PacketForwarded);
                }
                Verdict::Reset(caller, reset) => {
                    let mut to = caller;
                    to.set_port(self.caller_port);
                    self.io.packet_socket.send(reset.as_ref(), to);
                    self.io.counters.count(Event::ResetSent);
                }
                Verdict::Drop => {}
            }
        }
    }

    fn read_notices(&mut self, buf: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        let core = &mut self.core;
        self.io
            .read_notices(buf, |from, notice| core.handle_notice(from, notice, now_ms));
    }

    fn handle_update(&mut self, update: ClusterUpdate) {
        let now_ms = self.clock.now_ms();
        let version = self.core.routes().version();
        match update {
            ClusterUpdate::StoreReached => self.core.peering.record_store_contact(now_ms),
            ClusterUpdate::Instances(listing) => {
                let (peering, listed) = (&mut self.core.peering, listing.value.len());
                let unlisted = peering.handle_listing(listing, version, None, now_ms);
                info!(self.log, "instance list applied"; "listed" => listed,
                    "live_unlisted" => unlisted);
            }
            ClusterUpdate::Routes(routes) => {
                if self.io.publish_routes(&routes, &self.log) {
                    self.core.set_routes(Arc::clone(&routes));
                    let version = routes.version();
                    self.core.peering.broadcast_presence(version, None, now_ms);
                } else {
                    info!(self.log, "routes ignored"; "version" => routes.version().number,
                        "era" => routes.version().era.0,
                        "in_force" => version.number, "in_force_era" => version.era.0);
                }
            }
            ClusterUpdate::Evacuations(set) => {
                let peering = &mut self.core.peering;
                if peering.adopt_evacuations(&set, EvacuationSource::Store, now_ms) {
                    peering.broadcast_presence(version, None, now_ms);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        let domain = Arc::clone(&self.core.peering.local_instance().failure_domain);
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
        self.io.set_ready(is_ready);
        let version = self.core.routes().version();
        let is_in_rotation = self.rotation.is_in_rotation(now_ms);
        if self.core.peering.set_in_rotation(is_in_rotation) {
            self.core.peering.broadcast_presence(version, None, now_ms);
        }
        self.core.tick(now_ms);
        let evacuations = &self.core.peering.evacuations;
        self.io.publish_evacuations(evacuations, now_ms, &self.log);
        if let Some((address, _)) = self.core.peering.newer_routes(version, now_ms) {
            self.io.fetch_routes(address);
        }
    }
}
