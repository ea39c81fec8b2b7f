//! Event loop of an agent. A single task forwards all packets.

use std::{io::ErrorKind, net::SocketAddrV4, sync::Arc, time::Duration};

use slog::{Logger, info};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{self, MissedTickBehavior},
};

use super::{
    core::{AgentCore, AgentVerdict},
    target::Target,
    target_check::{CHECK_TIMEOUT_MS, CheckResult, StartedCheck},
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
        settings::{ForwardSettings, TargetSettings},
        socket::{MAX_BATCH, MAX_DATAGRAM_LEN, PacketSocket},
    },
    membership::{directory::LEAVE_GRACE_MS, instance::Instance},
    observe::{
        counters::Event,
        metrics::{Metrics, RequestLabels},
    },
};

/// Interval between two runs of the periodic work.
const TICK_INTERVAL_MS: u64 = 20;
/// Fixed labels of the request metrics: requests are not broken down by caller, and only requests
/// with a response are recorded.
const ALL_CALLERS: &str = "all";
const ANSWERED: &str = "answered";
/// Time without a live balancer that reaches the store after which the agent watches the routes in
/// the store itself.
const STORE_SILENCE_MS: u64 = 2_000;
/// Delay before an agent fetches a newer route table. Balancers need it first and fetch it at once.
/// An agent that has none fetches it at once too, since it needs the figures of cold targets.
const FETCH_DELAY_MS: u64 = 1_000;
/// Capacity of the channel for the results of target checks, of which at most two are in progress.
const CHECK_QUEUE_LEN: usize = 4;

/// Connects to the target's address with TCP and closes the connection at once.
pub async fn check_target(address: SocketAddrV4) -> CheckResult {
    let timeout = Duration::from_millis(CHECK_TIMEOUT_MS);
    match time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => connection_result(&stream),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => CheckResult::Refused,
        Ok(Err(_)) => CheckResult::Failed,
        Err(_) => CheckResult::TimedOut,
    }
}

/// Result of a check whose connection was established. One that has got the target's port as its own is
/// connected to itself, which shows no process.
#[must_use]
pub fn connection_result(stream: &TcpStream) -> CheckResult {
    match (stream.local_addr(), stream.peer_addr()) {
        (Ok(local), Ok(peer)) if local != peer => CheckResult::Accepted,
        // The process has closed the connection already.
        (Ok(_), Err(_)) => CheckResult::Accepted,
        _ => CheckResult::Failed,
    }
}

/// An agent with its sockets and its event loop.
#[derive(Debug)]
pub struct AgentDriver<F: PacketFormat, L> {
    core: AgentCore<F>,
    io: DriverIo<L>,
    /// Receives packets sent by the target, and sends packets to it.
    outbound: PacketSocket,
    /// Address at which the target receives packets.
    target_address: SocketAddrV4,
    decisions: DecisionLog,
    metrics: Metrics,
    clock: Clock,
    /// UDP port at which callers receive packets, whatever the port of the flow.
    caller_port: u16,
    /// Last time at which a live balancer reported that it reaches the store.
    store_heard_at_ms: u64,
    /// Time since which another instance has had a newer route table, or of the last fetch; `None`
    /// if the local one is the newest.
    newer_since_ms: Option<u64>,
    /// Results of target checks.
    checks: mpsc::Receiver<(StartedCheck, CheckResult)>,
    check_tx: mpsc::Sender<(StartedCheck, CheckResult)>,
    log: Logger,
}

impl<F: PacketFormat, L: Copy + Send + Sync + 'static> AgentDriver<F, L> {
    /// Creates an agent. Packets sent by its target arrive on `outbound`.
    #[must_use]
    #[allow(clippy::too_many_arguments)] // Each argument is a separate resource.
    pub fn new(
        settings: &ForwardSettings,
        target: &TargetSettings,
        local_instance: Instance,
        format: F,
        io: DriverIo<L>,
        outbound: PacketSocket,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        let clock = Clock::new();
        let now_ms = clock.now_ms();
        let seeds = settings.seeds.clone();
        let (check_tx, checks) = mpsc::channel(CHECK_QUEUE_LEN);
        let mut local_target = Target::new(target.heartbeat_interval_ms);
        if let Some(service) = &target.service {
            local_target = local_target.with_expected_service(Arc::clone(service), now_ms);
        }
        Self {
            core: AgentCore::new(format, local_instance, seeds, local_target, now_ms)
                .with_cold_bounds(settings.cold_bounds),
            decisions: DecisionLog::new(log.clone(), io.counters.clone()),
            io,
            outbound,
            metrics,
            target_address: target.address,
            clock,
            caller_port: settings.caller_port,
            store_heard_at_ms: now_ms,
            newer_since_ms: None,
            checks,
            check_tx,
            log,
        }
    }

    /// Forwards packets until a stop command, and then for `LEAVE_GRACE_MS`.
    pub async fn run<S: LeasedStore<Lease = L>>(mut self, store: S) {
        let mut buffer = [0; MAX_DATAGRAM_LEN];
        let mut ticks = time::interval(Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leaves_at_ms = u64::MAX;
        let mut accepts_packets = false;
        while self.clock.now_ms() < leaves_at_ms {
            tokio::select! {
                _ = self.io.packet_socket.readable(), if accepts_packets =>
                    self.read_inbound(&mut buffer),
                _ = self.outbound.readable() => self.read_outbound(&mut buffer),
                _ = self.io.control_socket.readable() => self.read_notices(&mut buffer),
                Some(update) = self.io.updates.recv() => self.handle_update(update),
                Some(command) = self.io.commands.recv() => {
                    if self.handle_command(command) && leaves_at_ms == u64::MAX {
                        leaves_at_ms = self.clock.now_ms() + LEAVE_GRACE_MS;
                    }
                }
                Some((check, result)) = self.checks.recv() => {
                    // Packets that wait in the socket may show that the target lives.
                    self.read_outbound(&mut buffer);
                    let now_ms = self.clock.now_ms();
                    self.core.handle_target_check(check, result, now_ms);
                }
                _ = ticks.tick() => self.tick(leaves_at_ms == u64::MAX),
            }
            self.start_target_check();
            // A packet whose answer waits in the socket must not count as unanswered.
            self.read_outbound(&mut buffer);
            self.dispatch_queued();
            self.record_responses();
            self.io.send_notices(&mut self.core.peering.outbox);
            let now_ms = self.clock.now_ms();
            accepts_packets = accepts_packets || self.core.accepts_packets(now_ms);
            self.decisions
                .record(&mut self.core.peering.decisions, now_ms);
        }
        let now_ms = self.clock.now_ms();
        self.core.hand_over_owners(now_ms);
        self.io.send_notices(&mut self.core.peering.outbox);
        self.decisions
            .record(&mut self.core.peering.decisions, now_ms);
        if self.core.stays_registered(self.clock.now_ms()) {
            info!(self.log, "registration left to expire"; "flows" => self.core.flows());
        } else {
            self.io.deregister(&store, &self.log).await;
        }
    }

    /// Handles a command. Returns whether it is the stop command.
    fn handle_command(&mut self, command: Command) -> bool {
        let now_ms = self.clock.now_ms();
        match command {
            Command::Heartbeat(heartbeat) => {
                self.core.handle_heartbeat(heartbeat, now_ms);
            }
            Command::TargetExiting(id) => self.core.handle_target_exit(&id, now_ms),
            Command::Stop => {
                info!(self.log, "stopping"; "flows" => self.core.flows());
                self.core.stop(now_ms);
                return true;
            }
        }
        false
    }

    /// Starts a check whether the target's process is running, if one is due. Packets are forwarded
    /// meanwhile.
    fn start_target_check(&mut self) {
        let Some(check) = self.core.target.next_check(self.clock.now_ms()) else {
            return;
        };
        let (address, check_tx) = (self.target_address, self.check_tx.clone());
        tokio::spawn(async move {
            let result = check_target(address).await;
            // The receiver is closed only while the process exits.
            let _ = check_tx.send((check, result)).await;
        });
    }

    fn read_inbound(&mut self, buffer: &mut [u8; MAX_DATAGRAM_LEN]) {
        for _ in 0..MAX_BATCH {
            let Some((len, _)) = self.io.packet_socket.receive(buffer) else {
                return;
            };
            // Read for each packet: a process that is suspended here may have missed an evacuation.
            let now_ms = self.clock.now_ms();
            let verdict = self.core.handle_inbound(&mut buffer[..len], now_ms);
            self.apply_verdict(&buffer[..len], verdict);
        }
    }

    fn read_outbound(&mut self, buffer: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        for _ in 0..MAX_BATCH {
            let Some((len, _)) = self.outbound.receive(buffer) else {
                return;
            };
            let verdict = self.core.handle_outbound(&mut buffer[..len], now_ms);
            self.apply_verdict(&buffer[..len], verdict);
        }
    }

    /// Sends a packet, or the reset that replaces it, as the verdict says.
    fn apply_verdict(&self, datagram: &[u8], verdict: AgentVerdict<F::Reset>) {
        match verdict {
            AgentVerdict::Target => {
                self.outbound.send(datagram, self.target_address);
                self.io.counters.count(Event::PacketForwarded);
            }
            AgentVerdict::Instance(address) => {
                self.io.packet_socket.send(datagram, address);
                self.io.counters.count(Event::PacketForwarded);
            }
            AgentVerdict::Caller(caller) => {
                self.io
                    .packet_socket
                    .send(datagram, self.with_caller_port(caller));
                self.io.counters.count(Event::PacketReturned);
            }
            AgentVerdict::Reset(caller, reset) => {
                self.io
                    .packet_socket
                    .send(reset.as_ref(), self.with_caller_port(caller));
                self.io.counters.count(Event::ResetSent);
            }
            AgentVerdict::Drop => {}
        }
    }

    /// Sends the queued packets that can be sent now, and offers free slots to other agents.
    fn dispatch_queued(&mut self) {
        let now_ms = self.clock.now_ms();
        self.core.dispatch_queued(now_ms);
        self.core.grant_slots(now_ms);
        for (datagram, verdict) in self.core.take_dispatched() {
            self.apply_verdict(&datagram, verdict);
        }
    }

    /// Records the latency and queueing time of requests, by the service address that callers use.
    fn record_responses(&mut self) {
        for response in self.core.take_responses() {
            let class = response.flow.service.to_string();
            let labels = RequestLabels {
                class: &class,
                caller_group: ALL_CALLERS,
                outcome: ANSWERED,
            };
            // Both are durations in milliseconds, far below the precision limit of `f64`.
            #[allow(clippy::cast_precision_loss)]
            let (latency_ms, queued_ms) = (response.latency_ms as f64, response.queued_ms as f64);
            self.metrics.record_request(labels, latency_ms, queued_ms);
        }
    }

    fn with_caller_port(&self, mut caller: SocketAddrV4) -> SocketAddrV4 {
        caller.set_port(self.caller_port);
        caller
    }

    fn read_notices(&mut self, buf: &mut [u8; MAX_DATAGRAM_LEN]) {
        let now_ms = self.clock.now_ms();
        let core = &mut self.core;
        self.io
            .read_notices(buf, |from, notice| core.handle_notice(from, notice, now_ms));
    }

    fn handle_update(&mut self, update: ClusterUpdate) {
        let now_ms = self.clock.now_ms();
        match update {
            ClusterUpdate::StoreReached => self.core.peering.record_store_contact(now_ms),
            ClusterUpdate::Instances(listing) => {
                self.core.set_members_known(listing.era, now_ms);
                let version = self.core.route_version();
                let load = self.core.load(now_ms);
                let (peering, listed) = (&mut self.core.peering, listing.value.len());
                let unlisted = peering.handle_listing(listing, version, Some(&load), now_ms);
                info!(self.log, "instance list applied"; "listed" => listed,
                    "live_unlisted" => unlisted);
            }
            ClusterUpdate::Routes(routes) => {
                if self.io.publish_routes(&routes, &self.log) {
                    self.core.set_routes(&routes);
                } else {
                    info!(self.log, "routes ignored"; "version" => routes.version().number,
                        "era" => routes.version().era.0,
                        "in_force" => self.core.route_version().number, "in_force_era" => self.core.route_version().era.0);
                }
            }
            ClusterUpdate::Evacuations(set) => {
                let source = EvacuationSource::Store;
                self.core.peering.adopt_evacuations(&set, source, now_ms);
            }
        }
    }

    fn tick(&mut self, is_running: bool) {
        let now_ms = self.clock.now_ms();
        self.core.tick(now_ms);
        let evacuations = &self.core.peering.evacuations;
        self.io.publish_evacuations(evacuations, now_ms, &self.log);
        self.io.set_ready(is_running && self.core.is_ready(now_ms));
        if self.core.peering.balancer_reaches_store(now_ms) {
            self.store_heard_at_ms = now_ms;
        }
        let silent_ms = now_ms.saturating_sub(self.store_heard_at_ms);
        self.io.set_store_needed(silent_ms > STORE_SILENCE_MS);
        self.fetch_newer_routes(now_ms);
    }

    fn fetch_newer_routes(&mut self, now_ms: u64) {
        let version = self.core.route_version();
        let Some((address, _)) = self.core.peering.newer_routes(version, now_ms) else {
            self.newer_since_ms = None;
            return;
        };
        let since_ms = *self.newer_since_ms.get_or_insert(now_ms);
        if self.core.awaits_limits(now_ms) || now_ms.saturating_sub(since_ms) >= FETCH_DELAY_MS {
            self.newer_since_ms = Some(now_ms);
            self.io.fetch_routes(address);
        }
    }
}
