//! Announces the agent to balancers and carries out what they answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use slog::{info, warn};
use tokio::{sync::mpsc, time};

use super::{socket::Received, state::Shared};
use crate::{
    control::policy_sync,
    proto::control::{AgentState, Announce, AnnounceAck, DrainOrder, control::Body},
    wire::transport::InnerLink,
};

const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// Announcements are spread by up to this share of the interval, in percent.
const JITTER_PERCENT: u64 = 20;

/// Announces the agent at intervals and handles control messages, until the channel closes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    inner: InnerLink,
    mut received: mpsc::Receiver<Received>,
) {
    let mut state = shared.watch_state();
    loop {
        announce_to_all(&shared, &inner);
        let pause = time::sleep(next_pause());
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                changed = state.changed() => match changed {
                    Ok(()) => break,
                    Err(_) => return,
                },
                message = received.recv() => match message {
                    Some((source, body)) => handle(&shared, &inner, source, body),
                    None => return,
                },
            }
        }
    }
}

fn next_pause() -> Duration {
    let jitter_ms = ANNOUNCE_INTERVAL_MS * JITTER_PERCENT / 100;
    let pause_ms = ANNOUNCE_INTERVAL_MS - jitter_ms + rand::rng().random_range(0..=jitter_ms);
    Duration::from_millis(pause_ms)
}

/// Announces the agent to every balancer that it knows.
pub(crate) fn announce_to_all(shared: &Shared, inner: &InnerLink) {
    let balancers = shared.peers().known();
    for balancer in balancers {
        announce_to(shared, inner, balancer);
    }
}

fn announce_to(shared: &Shared, inner: &InnerLink, balancer: SocketAddr) {
    let limits = shared.limits();
    let identity = &shared.identity;
    let announce = Announce {
        name: identity.name.to_string(),
        service: identity.service.to_string(),
        service_number: u32::from(identity.service_number),
        failure_domain: identity.failure_domain.to_string(),
        epoch_ms: identity.epoch_ms,
        sequence: shared.next_sequence(),
        state: shared.state().into(),
        running: shared.running(),
        queued: shared.queued(),
        slots: limits.slots,
        connections: shared.connections(),
        connection_limit: limits.connections,
        latency_us: shared.latency_us(),
        policy_version: shared.policy.version(),
    };
    inner.send_control(balancer, Body::Announce(announce));
}

fn handle(shared: &Arc<Shared>, inner: &InnerLink, source: SocketAddr, body: Body) {
    match body {
        Body::AnnounceAck(ack) => acknowledged(shared, inner, source, &ack),
        Body::DrainOrder(order) => ordered(shared, &order),
        Body::Probe(_) => announce_to(shared, inner, source),
        Body::Heartbeat(heartbeat) if heartbeat.leaving => shared.peers().left(source),
        Body::Heartbeat(_) | Body::Announce(_) => {}
    }
}

fn acknowledged(shared: &Arc<Shared>, inner: &InnerLink, source: SocketAddr, ack: &AnnounceAck) {
    let now_ms = shared.clock.now_ms();
    {
        let mut peers = shared.peers();
        peers.heard(source, now_ms);
        peers.learn(ack.balancers.iter().filter_map(|text| text.parse().ok()));
        peers.expire(now_ms);
    }
    if ack.policy_version > shared.policy.version() {
        fetch_policy(Arc::clone(shared), inner.clone(), source);
    }
}

fn fetch_policy(shared: Arc<Shared>, inner: InnerLink, balancer: SocketAddr) {
    let keys = inner.sealer().keys().clone();
    tokio::spawn(async move {
        match policy_sync::fetch(balancer, keys, &shared.policy).await {
            Ok(true) => {
                info!(shared.log, "policy in force"; "version" => shared.policy.version(),
                    "source" => %balancer);
                announce_to_all(&shared, &inner);
            }
            Ok(false) => {}
            Err(error) => warn!(shared.log, "policy not fetched"; "error" => %error),
        }
    });
}

/// Carries out an order, unless it is meant for another host or the process is leaving.
fn ordered(shared: &Shared, order: &DrainOrder) {
    if order.name != *shared.identity.name || shared.state() == AgentState::Gone {
        return;
    }
    let state = if order.drain {
        AgentState::Draining
    } else {
        AgentState::Accepting
    };
    if shared.set_state(state) {
        info!(shared.log, "drain ordered"; "drain" => order.drain);
    }
}
