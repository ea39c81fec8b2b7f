//! Announces the agent to balancers and carries out what they answer.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, seq::SliceRandom};
use slog::{info, warn};
use tokio::{sync::mpsc, time};

use super::{load::Utilisation, members::Notice, socket::Received, state::Shared};
use crate::{
    clock::unix_ms,
    control::policy_sync,
    proto::control::{AgentState, Announce, AnnounceAck, DrainOrder, Sibling, control::Body},
    wire::transport::InnerSocket,
};

const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// Balancers that are asked for their lists with each announcement; all would say much the same.
const LISTS_WANTED: usize = 2;
/// Announcements are spread by up to this share of the interval, in percent.
const JITTER_PERCENT: u64 = 20;

/// Announces the agent at intervals and handles control messages, until the channel closes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    inner: InnerSocket,
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
pub(crate) fn announce_to_all(shared: &Shared, inner: &InnerSocket) {
    let now_ms = shared.clock.now_ms();
    let mut balancers = shared.peers().addresses();
    balancers.shuffle(&mut rand::rng());
    // Lists are asked of balancers that are alive, if there are any.
    balancers.sort_by_key(|&balancer| !shared.peers().is_live(balancer, now_ms));
    for (index, balancer) in balancers.into_iter().enumerate() {
        announce_to(shared, inner, balancer, index < LISTS_WANTED);
    }
}

fn announce_to(shared: &Shared, inner: &InnerSocket, balancer: SocketAddr, wants_lists: bool) {
    let limits = shared.limits();
    let identity = &shared.identity;
    let (since_ms, until_ms) = shared.members().own_term();
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
        home_since_ms: since_ms.unwrap_or_default(),
        home_until_ms: until_ms.unwrap_or_default(),
        utilisation_permille: shared.utilisation().permille(),
        wants_lists,
    };
    inner.send_control(balancer, Body::Announce(announce));
}

fn handle(shared: &Arc<Shared>, inner: &InnerSocket, source: SocketAddr, body: Body) {
    match body {
        Body::AnnounceAck(ack) => acknowledged(shared, inner, source, &ack),
        Body::DrainOrder(order) => ordered(shared, &order),
        Body::Heartbeat(heartbeat) if heartbeat.leaving => shared.peers().mark_left(source),
        Body::Heartbeat(_) | Body::Announce(_) | Body::AgentLost(_) => {}
    }
}

fn acknowledged(shared: &Arc<Shared>, inner: &InnerSocket, source: SocketAddr, ack: &AnnounceAck) {
    let now_ms = shared.clock.now_ms();
    {
        let mut peers = shared.peers();
        peers.mark_alive(source, now_ms);
        peers.add(ack.balancers.iter().filter_map(|text| text.parse().ok()));
        peers.remove_expired(now_ms);
    }
    // A balancer that gives its lists names itself. Without lists an acknowledgement says nothing of
    // the other members, and must not count as knowledge of them.
    if !ack.balancers.is_empty() {
        note_siblings(shared, ack);
    }
    if ack.policy_version > shared.policy.version() {
        fetch_policy(Arc::clone(shared), inner.clone(), source);
    }
}

fn fetch_policy(shared: Arc<Shared>, inner: InnerSocket, balancer: SocketAddr) {
    let keys = inner.sealer().keys().clone();
    tokio::spawn(async move {
        match policy_sync::fetch_if_newer(balancer, keys, &shared.policy).await {
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

fn note_siblings(shared: &Shared, ack: &AnnounceAck) {
    let now_ms = unix_ms();
    let has_joined = {
        let mut members = shared.members();
        members.acknowledged(now_ms);
        members.observe(now_ms, ack.siblings.iter().filter_map(notice));
        members.has_joined(now_ms)
    };
    if has_joined && shared.state() == AgentState::Joining {
        info!(shared.log, "agent takes new flows");
        shared.set_state(AgentState::Accepting);
    }
}

fn notice(sibling: &Sibling) -> Option<Notice> {
    let port = u16::try_from(sibling.port).ok()?;
    let given = |time_ms: u64| (time_ms > 0).then_some(time_ms);
    Some(Notice {
        address: SocketAddrV4::new(Ipv4Addr::from(sibling.ip), port),
        home_since_ms: given(sibling.home_since_ms),
        home_until_ms: given(sibling.home_until_ms),
        work: sibling.running.saturating_add(sibling.queued),
        slots: sibling.slots,
        is_accepting: sibling.accepting,
        utilisation: Utilisation::from_permille(sibling.utilisation_permille),
    })
}

/// Carries out an order, unless it is meant for another host or the process is leaving.
fn ordered(shared: &Shared, order: &DrainOrder) {
    if order.name == *shared.identity.name && set_draining(shared, order.drain) {
        info!(shared.log, "drain ordered"; "drain" => order.drain);
    }
}

/// Starts or ends a drain; returns whether that changed anything.
pub(crate) fn set_draining(shared: &Shared, is_draining: bool) -> bool {
    let is_drained = shared.state() == AgentState::Draining;
    if is_draining == is_drained || shared.state() == AgentState::Gone {
        return false;
    }
    if is_draining {
        shared.members().leave(unix_ms());
        shared.set_state(AgentState::Draining)
    } else {
        shared.members().stay();
        shared.set_state(AgentState::Joining)
    }
}
