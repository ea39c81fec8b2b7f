//! Cost of the search for a flow that no target holds, by number of agents, for
//! docs/design/forwarding.md: `cargo bench --bench search`.
#![allow(clippy::cast_precision_loss)]

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use bamboowind::{
    flow::routes::RouteVersion,
    membership::{
        directory::Directory,
        evacuation_set::EvacuationSet,
        instance::{Instance, InstanceRole, Presence, TargetLoad, TargetState},
    },
};

const SIZES: [u32; 3] = [10, 60, 300];
/// Calls over which a time is averaged.
const CALLS: u64 = 20_000;
/// Packets that a hop sends: to its target, back from the target and to the next agent.
const PACKETS_PER_HOP: u32 = 3;
/// Length of the header of a packet, which a search carries with its data.
const HEADER_LEN: u32 = 36;
const NOW_MS: u64 = 1_000;

fn presence(number: u32) -> Presence {
    let ip = Ipv4Addr::from(0x0a00_0000 + number);
    Presence {
        instance: Instance {
            name: format!("agent-{number}").into(),
            incarnation: 1,
            role: InstanceRole::Agent,
            failure_domain: "a".into(),
            packet_address: SocketAddrV4::new(ip, 8_000),
            control_address: SocketAddrV4::new(ip, 7_000),
        },
        leaving_for_ms: None,
        route_version: RouteVersion::default(),
        load: Some(TargetLoad {
            state: TargetState::Ready,
            service: Some("catalogo".into()),
            ..TargetLoad::default()
        }),
        reaches_store: true,
        is_in_rotation: false,
        next_within_ms: 200,
        receiver_was_draining: false,
        evacuations: EvacuationSet::default(),
        limits_cold_targets: false,
        history_ms: 0,
    }
}

fn mean_ns(mut call: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    (0..CALLS).for_each(&mut call);
    start.elapsed().as_nanos() as f64 / CALLS as f64
}

fn main() {
    for size in SIZES {
        let mut directory = Directory::new("agent-0".into());
        directory.update_local(presence(0), NOW_MS);
        for number in 1..size {
            directory.handle_presence(presence(number), NOW_MS);
        }
        let view_ns = mean_ns(|hash| {
            black_box(directory.search_view(hash, u64::MAX, NOW_MS));
        });
        let registry_ns = mean_ns(|hash| {
            black_box(directory.registry_agent(hash, 0, NOW_MS));
        });
        println!(
            "{size} agents: view {view_ns:.0} ns, registry agent {registry_ns:.0} ns; complete search: \
             {size} hops, {} packets of {HEADER_LEN} bytes and the data, no notices",
            size * PACKETS_PER_HOP
        );
    }
}
