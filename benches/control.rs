//! Cost of control messages, tables and policy propagation by cluster size, for docs/CAPACITY.md:
//! `cargo bench --bench control`.
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

/// Numbers of agents or table entries that are measured.
const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];
const HOSTS_PER_SERVICE: usize = 7;
/// Calls over which a time is averaged.
const CALL_COUNT: usize = 2_000;
const SEED: u64 = 20_261_204;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Balancers that a heartbeat is sent to.
const HEARTBEAT_FANOUT: usize = 3;
/// Interval of the rounds in which a balancer sends a new policy version to others.
const UPDATE_INTERVAL_MS: u64 = 250;
const UPDATE_ROUNDS: u64 = 4;
/// Balancers that get a new policy version in each round.
const UPDATE_FANOUT: usize = 4;
/// Time for fetching a policy from another balancer.
const FETCH_TIME_MS: u64 = 2;
/// Simulations for each number of balancers and loss rate.
const SIMULATION_RUNS: usize = 20;

fn main() {
    print_message_sizes();
    bench_directory();
    bench_agent_tables();
    bench_policy_decoding();
    bench_propagation();
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

/// Mean time of a call in nanoseconds over `call_count` calls.
fn mean_call_ns(call_count: usize, mut call: impl FnMut(usize)) -> f64 {
    let started_at = Instant::now();
    (0..call_count).for_each(&mut call);
    started_at.elapsed().as_secs_f64() * 1e9 / call_count as f64
}

fn print_message_sizes() {
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
        "bytes with envelope: announcement {}, acknowledgement with {} siblings {}, without siblings {}, heartbeat {}",
        HEADER_LEN + announce(0).encoded_len(),
        ack.siblings.len(),
        HEADER_LEN + ack.encoded_len(),
        HEADER_LEN + short_ack.encoded_len(),
        HEADER_LEN + heartbeat.encoded_len()
    );
}

fn bench_directory() {
    for size in SIZES {
        let mut directory = AgentDirectory::new();
        for index in 0..size {
            directory.record_announce(0, address(index), announce(index));
        }
        let mut sequence = 100_000;
        let announce_ns = mean_call_ns(CALL_COUNT, |call| {
            let index = call % size;
            sequence += 1;
            let announcement = Announce {
                sequence,
                ..announce(index)
            };
            black_box(directory.record_announce(1, address(index), announcement));
        });
        let mut random = StdRng::seed_from_u64(SEED);
        let choose_ns = mean_call_ns(CALL_COUNT, |_| {
            black_box(directory.choose(1, 1, &mut random));
        });
        let siblings_ns = mean_call_ns(CALL_COUNT, |_| {
            black_box(directory.siblings(1, address(0), &announce(0)));
        });
        println!(
            "directory of {size} agents: announcement {announce_ns:.0} ns, choice of an agent {choose_ns:.0} ns, siblings {siblings_ns:.0} ns"
        );
    }
}

fn bench_agent_tables() {
    for size in SIZES {
        let mut paths = ReturnPaths::new(size);
        let return_path_ns = mean_call_ns(size, |index| {
            let caller = SocketAddrV4::new(
                Ipv4Addr::from((index as u32).wrapping_mul(2_654_435_761)),
                5_000,
            );
            paths.record(caller.into(), address(0).into(), 0);
        });
        let mut outcomes = Outcomes::new();
        let claim_ns = mean_call_ns(size.min(9_000), |index| {
            let claim = Claim {
                created_at_ms: 0,
                fingerprint: 0,
                claim_id: 0,
            };
            black_box(outcomes.try_claim(&blake3::hash(&index.to_le_bytes()).to_hex(), claim));
        });
        println!(
            "agent with {size} entries: return path {return_path_ns:.0} ns, claim of a key {claim_ns:.0} ns"
        );
    }
    for size in [7, 64, 1_000] {
        let mut members = Members::new(address(0), 600_000);
        members.record_ack(1);
        let reports = (1..size).map(|index| MemberReport {
            address: address(index),
            owner_since_ms: Some(1),
            owner_until_ms: None,
            outstanding: 2,
            slots: 5,
            is_accepting: true,
            utilisation: Utilisation::default(),
        });
        members.apply_reports(1, reports);
        let lookup_ns = mean_call_ns(CALL_COUNT, |_| {
            black_box(members.key_owner("01a23f57-9e74-77d6-8808-661665ca525e", JOIN_DELAY_MS + 1));
        });
        println!("owner of a key among {size} members: {lookup_ns:.0} ns");
    }
}

fn bench_policy_decoding() {
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
        let decode_ns = mean_call_ns(20, |_| {
            black_box(policy::decode(&encoded));
        });
        println!(
            "policy with {size} exceptions: {} bytes, decoded and validated in {:.0} us",
            encoded.len(),
            decode_ns / 1e3
        );
    }
}

/// Simulates how long a policy change takes from one balancer to all of them.
fn bench_propagation() {
    let mut random = StdRng::seed_from_u64(SEED);
    for balancer_count in [10, 30, 100, 300, 1_000, 12_000] {
        for loss in [0.0, 0.1, 0.3] {
            let mut times_ms: Vec<u64> = (0..SIMULATION_RUNS)
                .map(|_| simulate_propagation(balancer_count, loss, &mut random))
                .collect();
            times_ms.sort_unstable();
            println!(
                "propagation to {balancer_count} balancers at {:.0}% loss: p50 {} ms, max {} ms",
                loss * 100.0,
                times_ms[SIMULATION_RUNS / 2],
                times_ms[SIMULATION_RUNS - 1],
            );
        }
    }
}

/// Time in milliseconds until all balancers have a policy change, or `u64::MAX` if that takes
/// longer than 60 s. Balancers send the version in update rounds and heartbeats, and fetch what is
/// new; each message is lost with probability `loss`.
fn simulate_propagation(balancer_count: usize, loss: f64, random: &mut StdRng) -> u64 {
    let peer_count = balancer_count.min(MAX_PEERS);
    let peers: Vec<Vec<usize>> = (0..balancer_count)
        .map(|_| sample(random, balancer_count, peer_count).into_vec())
        .collect();
    let heartbeat_offsets_ms: Vec<u64> = (0..balancer_count)
        .map(|_| random.random_range(0..HEARTBEAT_INTERVAL_MS))
        .collect();
    let mut fetched_at_ms: Vec<Option<u64>> = vec![None; balancer_count];
    fetched_at_ms[0] = Some(0);
    let mut remaining = balancer_count - 1;
    for now_ms in 0..60_000 {
        for balancer in 0..balancer_count {
            let Some(own_fetch_ms) = fetched_at_ms[balancer].filter(|&at_ms| at_ms <= now_ms)
            else {
                continue;
            };
            let since_ms = now_ms - own_fetch_ms;
            let is_update_round = since_ms < UPDATE_ROUNDS * UPDATE_INTERVAL_MS
                && since_ms.is_multiple_of(UPDATE_INTERVAL_MS);
            let is_heartbeat =
                (now_ms + heartbeat_offsets_ms[balancer]).is_multiple_of(HEARTBEAT_INTERVAL_MS);
            let fanout = match (is_update_round, is_heartbeat) {
                (true, _) => UPDATE_FANOUT,
                (false, true) => HEARTBEAT_FANOUT,
                (false, false) => continue,
            };
            for index in sample(random, peer_count, fanout.min(peer_count)) {
                let peer = peers[balancer][index];
                if fetched_at_ms[peer].is_none() && random.random::<f64>() >= loss {
                    fetched_at_ms[peer] = Some(now_ms + FETCH_TIME_MS);
                    remaining -= 1;
                }
            }
        }
        if remaining == 0 {
            return now_ms + FETCH_TIME_MS;
        }
    }
    u64::MAX
}
