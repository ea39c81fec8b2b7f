//! Announces the agent to the balancers at regular intervals and handles their control messages.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use rand::{Rng, seq::SliceRandom};
use slog::{info, warn};
use tokio::{sync::mpsc, time};

use super::{load::Utilisation, members::MemberReport, socket::ReceivedControl, state::Shared};
use crate::{
    clock::unix_ms,
    control::policy_sync,
    proto::control::{AgentState, Announce, AnnounceAck, DrainOrder, Sibling, control::Body},
    wire::transport::InnerSocket,
};

const ANNOUNCE_INTERVAL_MS: u64 = 500;
/// Number of balancers that are asked for their lists of siblings and balancers in each round of
/// announcements. The lists are nearly the same at every balancer.
const BALANCERS_ASKED_FOR_LISTS: usize = 2;
/// Random reduction of the announcement interval, in percent of the interval at most.
const JITTER_PERCENT: u64 = 20;

/// Announces the agent at intervals and on state changes, and handles control messages, until a
/// channel closes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    inner: InnerSocket,
    mut received: mpsc::Receiver<ReceivedControl>,
) {
    let mut state = shared.watch_state();
    loop {
        announce_to_all(&shared, &inner);
        let delay = time::sleep(next_interval());
        tokio::pin!(delay);
        loop {
            tokio::select! {
                () = &mut delay => break,
                changed = state.changed() => match changed {
                    Ok(()) => break,
                    Err(_) => return,
                },
                message = received.recv() => match message {
                    Some((source, body)) => handle_message(&shared, &inner, source, body),
                    None => return,
                },
            }
        }
    }
}

fn next_interval() -> Duration {
    let jitter_ms = ANNOUNCE_INTERVAL_MS * JITTER_PERCENT / 100;
    let interval_ms = ANNOUNCE_INTERVAL_MS - jitter_ms + rand::rng().random_range(0..=jitter_ms);
    Duration::from_millis(interval_ms)
}

/// Announces the agent to every known balancer.
pub(crate) fn announce_to_all(shared: &Shared, inner: &InnerSocket) {
    let now_ms = shared.clock.now_ms();
    let mut balancers = shared.peers().addresses();
    balancers.shuffle(&mut rand::rng());
    // Live balancers come first, so that they are the ones asked for lists.
    balancers.sort_by_key(|&balancer| !shared.peers().is_live(balancer, now_ms));
    for (index, balancer) in balancers.into_iter().enumerate() {
        announce_to(shared, inner, balancer, index < BALANCERS_ASKED_FOR_LISTS);
    }
}

fn announce_to(shared: &Shared, inner: &InnerSocket, balancer: SocketAddr, wants_lists: bool) {
    let limits = shared.limits();
    let identity = &shared.identity;
    let (since_ms, until_ms) = shared.members().own_period();
    let announce = Announce {
        name: identity.name.to_string(),
        service: identity.service.to_string(),
        service_number: u32::from(identity.service_number),
        failure_domain: identity.failure_domain.to_string(),
        epoch_ms: identity.epoch_ms,
        sequence: shared.next_announce_sequence(),
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

fn handle_message(shared: &Arc<Shared>, inner: &InnerSocket, source: SocketAddr, body: Body) {
    match body {
        Body::AnnounceAck(ack) => handle_ack(shared, inner, source, &ack),
        Body::DrainOrder(order) => handle_drain_order(shared, &order),
        Body::Heartbeat(heartbeat) if heartbeat.leaving => shared.peers().mark_left(source),
        Body::Heartbeat(_) | Body::Announce(_) | Body::AgentLost(_) => {}
    }
}

fn handle_ack(shared: &Arc<Shared>, inner: &InnerSocket, source: SocketAddr, ack: &AnnounceAck) {
    let now_ms = shared.clock.now_ms();
    {
        let mut peers = shared.peers();
        peers.mark_alive(source, now_ms);
        peers.add(ack.balancers.iter().filter_map(|text| text.parse().ok()));
        peers.remove_expired(now_ms);
    }
    // A balancer lists itself, so an empty list means that no lists were sent. Such an
    // acknowledgement carries no membership information and must not renew the freshness of the
    // known membership.
    if !ack.balancers.is_empty() {
        update_members(shared, ack);
    }
    if ack.policy_version > shared.policy.version() {
        fetch_policy(Arc::clone(shared), inner.clone(), source);
    }
}

/// Fetches a newer policy from a balancer in the background and announces the new version.
fn fetch_policy(shared: Arc<Shared>, inner: InnerSocket, balancer: SocketAddr) {
    let keys = inner.sealer().keys().clone();
    tokio::spawn(async move {
        match policy_sync::fetch_if_newer(balancer, keys, &shared.policy).await {
            Ok(true) => {
                info!(shared.log, "policy updated"; "version" => shared.policy.version(),
                    "source" => %balancer);
                announce_to_all(&shared, &inner);
            }
            Ok(false) => {}
            Err(error) => warn!(shared.log, "policy fetch failed"; "error" => %error),
        }
    });
}

/// Applies the membership lists of an acknowledgement and accepts flows once the agent has joined.
fn update_members(shared: &Shared, ack: &AnnounceAck) {
    let now_ms = unix_ms();
    let has_joined = {
        let mut members = shared.members();
        members.record_ack(now_ms);
        members.apply_reports(now_ms, ack.siblings.iter().filter_map(member_report));
        members.has_joined(now_ms)
    };
    if has_joined && shared.state() == AgentState::Joining {
        info!(shared.log, "agent accepts new flows");
        shared.set_state(AgentState::Accepting);
    }
}

/// Converts a sibling of an acknowledgement; `None` if its port is out of range.
fn member_report(sibling: &Sibling) -> Option<MemberReport> {
    let port = u16::try_from(sibling.port).ok()?;
    let nonzero = |time_ms: u64| (time_ms > 0).then_some(time_ms);
    Some(MemberReport {
        address: SocketAddrV4::new(Ipv4Addr::from(sibling.ip), port),
        owner_since_ms: nonzero(sibling.home_since_ms),
        owner_until_ms: nonzero(sibling.home_until_ms),
        outstanding: sibling.running.saturating_add(sibling.queued),
        slots: sibling.slots,
        is_accepting: sibling.accepting,
        utilisation: Utilisation::from_permille(sibling.utilisation_permille),
    })
}

/// Starts or ends a drain as ordered. Ignores orders for other hosts and orders that arrive while
/// the agent stops.
fn handle_drain_order(shared: &Shared, order: &DrainOrder) {
    if order.name == *shared.identity.name && set_draining(shared, order.drain) {
        info!(shared.log, "received drain order"; "drain" => order.drain);
    }
}

/// Starts or ends a drain; returns whether the state of the agent changed.
pub(crate) fn set_draining(shared: &Shared, is_draining: bool) -> bool {
    let was_draining = shared.state() == AgentState::Draining;
    if is_draining == was_draining || shared.state() == AgentState::Gone {
        return false;
    }
    if is_draining {
        shared.members().leave(unix_ms());
        shared.set_state(AgentState::Draining)
    } else {
        shared.members().cancel_leave();
        shared.set_state(AgentState::Joining)
    }
}
