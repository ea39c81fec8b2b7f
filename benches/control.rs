//! Slopes of the control traffic for docs/CAPACITY.md: `cargo bench --bench control`.
#![allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use bamboowind::{
    agent::{
        load::Utilisation,
        members::{JOIN_DELAY_MS, MemberReport, Members},
        outcomes::{Claim, Outcomes},
        return_paths::ReturnPaths,
    },
    balancer::directory::AgentDirectory,
    control::{peers::MAX_PEERS, policy},
    proto::{
        control::{Announce, AnnounceAck, Heartbeat},
        policy::{ChangeRequest, Exception, Limits},
    },
    wire::envelope::HEADER_LEN,
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::index::sample};

const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];
const HOSTS_PER_SERVICE: usize = 7;
const ROUNDS: usize = 2_000;
const SEED: u64 = 20_261_204;
const HEARTBEAT_MS: u64 = 1_000;
const FANOUT: usize = 3;
const TICK_MS: u64 = 250;
const NOTICE_ROUNDS: u64 = 4;
const NOTICE_FANOUT: usize = 4;
const PULL_MS: u64 = 2;
const TRIALS: usize = 20;

fn main() {
    message_sizes();
    directory();
    agent_memories();
    policies();
    spread();
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + index as u32), 7_000)
}

fn announce(index: usize) -> Announce {
    Announce {
        name: format!("catalogo-{index}"),
        service: "catalogo".to_owned(),
        service_number: 1 + (index / HOSTS_PER_SERVICE) as u32,
        failure_domain: "mx-occidente-a".to_owned(),
        epoch_ms: 1_764_800_000_000,
        sequence: 100_000,
        state: 1,
        running: 4,
        queued: 1,
        slots: 5,
        connections: 1_100,
        connection_limit: 2_000,
        latency_us: 12_000,
        policy_version: 120_000,
        home_since_ms: 1_764_800_002_000,
        home_until_ms: 0,
        utilisation_permille: 800,
        wants_lists: true,
    }
}

/// Time of one call in nanoseconds, over many.
fn nanoseconds(rounds: usize, mut call: impl FnMut(usize)) -> f64 {
    let started_at = Instant::now();
    (0..rounds).for_each(&mut call);
    started_at.elapsed().as_secs_f64() * 1e9 / rounds as f64
}

fn message_sizes() {
    let mut directory = AgentDirectory::new();
    for index in 0..HOSTS_PER_SERVICE {
        directory.record_announce(0, address(index), announce(index));
    }
    let balancers: Vec<String> = (0..9).map(|index| address(index).to_string()).collect();
    let ack = AnnounceAck {
        sequence: 100_000,
        policy_version: 120_000,
        balancers: balancers.clone(),
        siblings: directory.siblings(0, address(0), &announce(0)),
    };
    let short_ack = AnnounceAck {
        sequence: 100_000,
        policy_version: 120_000,
        ..AnnounceAck::default()
    };
    let heartbeat = Heartbeat {
        name: "balancer-0001".to_owned(),
        failure_domain: "mx-occidente-a".to_owned(),
        epoch_ms: 1_764_800_000_000,
        policy_version: 120_000,
        balancers,
        leaving: false,
        store_contact_age_ms: Some(1_000),
    };
    println!(
        "bytes with envelope: announcement {}, acknowledgement with {} siblings {}, without {}, heartbeat {}",
        HEADER_LEN + announce(0).encoded_len(),
        ack.siblings.len(),
        HEADER_LEN + ack.encoded_len(),
        HEADER_LEN + short_ack.encoded_len(),
        HEADER_LEN + heartbeat.encoded_len()
    );
}

fn directory() {
    for size in SIZES {
        let mut directory = AgentDirectory::new();
        for index in 0..size {
            directory.record_announce(0, address(index), announce(index));
        }
        let mut sequence = 100_000;
        let announced = nanoseconds(ROUNDS, |round| {
            let index = round % size;
            sequence += 1;
            let fresh = Announce {
                sequence,
                ..announce(index)
            };
            black_box(directory.record_announce(1, address(index), fresh));
        });
        let mut random = StdRng::seed_from_u64(SEED);
        let chosen = nanoseconds(ROUNDS, |_| {
            black_box(directory.choose(1, 1, &mut random));
        });
        let answered = nanoseconds(ROUNDS, |_| {
            black_box(directory.siblings(1, address(0), &announce(0)));
        });
        println!(
            "directory of {size} agents: announcement {announced:.0} ns, choice {chosen:.0} ns, siblings {answered:.0} ns"
        );
    }
}

fn agent_memories() {
    for size in SIZES {
        let mut paths = ReturnPaths::new(size);
        let noted = nanoseconds(size, |index| {
            let caller = SocketAddrV4::new(
                Ipv4Addr::from((index as u32).wrapping_mul(2_654_435_761)),
                5_000,
            );
            paths.record(caller.into(), address(0).into(), 0);
        });
        let mut outcomes = Outcomes::new();
        let begun = nanoseconds(size.min(9_000), |index| {
            let claim = Claim {
                created_at_ms: 0,
                fingerprint: 0,
                claim_id: 0,
            };
            black_box(outcomes.try_claim(&blake3::hash(&index.to_le_bytes()).to_hex(), claim));
        });
        println!("agent with {size} entries: return path {noted:.0} ns, outcome {begun:.0} ns");
    }
    for size in [7, 64, 1_000] {
        let mut members = Members::new(address(0), 600_000);
        members.record_ack(1);
        let notices = (1..size).map(|index| MemberReport {
            address: address(index),
            owner_since_ms: Some(1),
            owner_until_ms: None,
            outstanding: 2,
            slots: 5,
            is_accepting: true,
            utilisation: Utilisation::default(),
        });
        members.apply_reports(1, notices);
        let found = nanoseconds(ROUNDS, |_| {
            black_box(members.key_owner("01a23f57-9e74-77d6-8808-661665ca525e", JOIN_DELAY_MS + 1));
        });
        println!("home among {size} members: {found:.0} ns");
    }
}

fn policies() {
    let mut current = policy::initial();
    for size in [0, 10, 100, 1_000] {
        while current.exceptions.len() < size {
            let number = current.exceptions.len();
            let request = ChangeRequest {
                change_id: format!("change-{number}"),
                operator: "operator".to_owned(),
                base_version: current.version,
                put_exception: Some(Exception {
                    name: format!("exception-{number}"),
                    reason: "the disk of this host is being replaced".to_owned(),
                    host: Some(format!("catalogo-{number}")),
                    limits: Some(Limits {
                        slots: Some(2),
                        ..Limits::default()
                    }),
                    ..Exception::default()
                }),
                ..ChangeRequest::default()
            };
            current.exceptions.extend(request.put_exception.clone());
            if current.exceptions.len() == size {
                current.exceptions.pop();
                current = policy::apply(&current, &request, 1).unwrap_or(current);
            }
        }
        let encoded = policy::encode(&current);
        let decoded = nanoseconds(20, |_| {
            black_box(policy::decode(&encoded));
        });
        println!(
            "policy with {size} exceptions: {} bytes, checked and decoded in {:.0} us",
            encoded.len(),
            decoded / 1e3
        );
    }
}

/// How long a change takes from one balancer to all, by heartbeats and pulls.
fn spread() {
    let mut random = StdRng::seed_from_u64(SEED);
    for members in [10, 30, 100, 300, 1_000, 12_000] {
        for loss in [0.0, 0.1, 0.3] {
            let mut times: Vec<u64> = (0..TRIALS)
                .map(|_| spread_once(members, loss, &mut random))
                .collect();
            times.sort_unstable();
            println!(
                "spread to {members} members at {:.0}% loss: p50 {} ms, max {} ms",
                loss * 100.0,
                times[TRIALS / 2],
                times[TRIALS - 1],
            );
        }
    }
}

fn spread_once(members: usize, loss: f64, random: &mut StdRng) -> u64 {
    let view = members.min(MAX_PEERS);
    let views: Vec<Vec<usize>> = (0..members)
        .map(|_| sample(random, members, view).into_vec())
        .collect();
    let phases: Vec<u64> = (0..members)
        .map(|_| random.random_range(0..HEARTBEAT_MS))
        .collect();
    let mut informed_at: Vec<Option<u64>> = vec![None; members];
    informed_at[0] = Some(0);
    let mut left = members - 1;
    for now_ms in 0..60_000 {
        for member in 0..members {
            let Some(informed_ms) = informed_at[member].filter(|&at_ms| at_ms <= now_ms) else {
                continue;
            };
            let since_ms = now_ms - informed_ms;
            let is_notice = since_ms < NOTICE_ROUNDS * TICK_MS && since_ms.is_multiple_of(TICK_MS);
            let is_heartbeat = (now_ms + phases[member]).is_multiple_of(HEARTBEAT_MS);
            let fanout = match (is_notice, is_heartbeat) {
                (true, _) => NOTICE_FANOUT,
                (false, true) => FANOUT,
                (false, false) => continue,
            };
            for index in sample(random, view, fanout.min(view)) {
                let peer = views[member][index];
                if informed_at[peer].is_none() && random.random::<f64>() >= loss {
                    informed_at[peer] = Some(now_ms + PULL_MS);
                    left -= 1;
                }
            }
        }
        if left == 0 {
            return now_ms + PULL_MS;
        }
    }
    u64::MAX
}
