//! Placement of flows between failure domains whose demand swings out of phase.

use std::net::{Ipv4Addr, SocketAddrV4};

use bamboowind::{
    flow::routes::RouteVersion,
    forward::peering::choose_load_receivers,
    membership::{
        directory::{Directory, Member},
        evacuation_set::EvacuationSet,
        instance::{Instance, InstanceRole, Presence, TargetLoad, TargetState},
    },
    placement::{PlacementRequest, choose},
};

const SERVICE: &str = "catalogo";
const SLOTS: u32 = 2;
const SERVICE_TIME_US: u32 = 20_000;
const NOW_MS: u64 = 1_000;

fn instance(role: InstanceRole, domain: &str, host: u8) -> Instance {
    let subnet = u8::from(role == InstanceRole::Agent) * 100 + domain.as_bytes()[0];
    let ip = Ipv4Addr::new(10, 0, subnet, host);
    Instance {
        name: format!("{role:?}-{domain}-{host}").into(),
        incarnation: 1,
        role,
        failure_domain: domain.into(),
        packet_address: SocketAddrV4::new(ip, 8_000),
        control_address: SocketAddrV4::new(ip, 7_000),
    }
}

fn load(running: u32) -> TargetLoad {
    TargetLoad {
        state: TargetState::Ready,
        service: Some(SERVICE.into()),
        capacity: SLOTS,
        running,
        service_time_us: SERVICE_TIME_US,
        ..TargetLoad::default()
    }
}

fn add(directory: &mut Directory, instance: Instance, load: Option<TargetLoad>) {
    let presence = Presence {
        instance,
        leaving_for_ms: None,
        route_version: RouteVersion::default(),
        load,
        reaches_store: true,
        is_in_rotation: true,
        next_within_ms: 200,
        receiver_was_draining: false,
        evacuations: EvacuationSet::default(),
        limits_cold_targets: false,
        history_ms: 0,
    };
    directory.handle_presence(presence, NOW_MS);
}

/// A balancer's directory of agents, each given as its domain and running requests.
fn directory(agents: &[(&str, u32)]) -> Directory {
    let mut directory = Directory::new("balancer".into());
    for (host, (domain, running)) in (1..).zip(agents) {
        let agent = instance(InstanceRole::Agent, domain, host);
        add(&mut directory, agent, Some(load(*running)));
    }
    directory
}

fn place(directory: &mut Directory, domain: &str, hash: u64) -> Option<String> {
    let request = PlacementRequest {
        service: SERVICE,
        failure_domain: domain,
        excluded: None,
        hash,
        now_ms: NOW_MS,
    };
    let name = choose(directory, request).map(|member| member.instance.name.clone())?;
    directory.count_placed(&name);
    let member = directory.member(&name)?;
    Some(member.instance.failure_domain.to_string())
}

#[test]
fn flows_stay_in_their_domain_while_it_has_free_slots() {
    let mut directory = directory(&[("a", 1), ("a", 1), ("b", 0), ("b", 0), ("b", 0)]);
    assert_eq!(place(&mut directory, "a", 1).as_deref(), Some("a"));
    assert_eq!(place(&mut directory, "a", 2).as_deref(), Some("a"));
}

#[test]
fn flows_leave_a_full_domain_for_free_slots_elsewhere() {
    let mut directory = directory(&[("a", 2), ("a", 3), ("b", 0), ("b", 1)]);
    assert_eq!(place(&mut directory, "a", 1).as_deref(), Some("b"));
}

/// Two domains that are equally full must not exchange flows because one has more idle ones.
#[test]
fn small_differences_of_load_move_no_flows() {
    let mut directory = directory(&[("a", 2), ("a", 2), ("b", 2), ("b", 2)]);
    for host in 1..=2 {
        let busy = TargetLoad {
            flows: 40,
            ..load(2)
        };
        let agent = instance(InstanceRole::Agent, "a", host);
        add(&mut directory, agent, Some(busy));
    }
    assert_eq!(place(&mut directory, "a", 1).as_deref(), Some("a"));
}

#[test]
fn a_domain_without_targets_sends_its_flows_elsewhere() {
    let mut directory = directory(&[("b", 3), ("c", 1)]);
    assert_eq!(place(&mut directory, "a", 1).as_deref(), Some("c"));
}

/// Demand of one domain is 40% above its slots while the others have room: only the excess leaves
/// it, and no target elsewhere gets more than its slots.
#[test]
fn only_the_excess_of_a_domain_crosses() {
    let mut agents = vec![("a", 0); 10];
    agents.extend([("b", 1); 10]);
    agents.extend([("c", 1); 10]);
    let mut directory = directory(&agents);
    let mut crossed = 0;
    for number in 0_u64..28 {
        let hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let domain = place(&mut directory, "a", hash).expect("a target accepts flows");
        crossed += usize::from(domain != "a");
    }
    assert!((6..=10).contains(&crossed), "{crossed} of 28 flows crossed");
    let is_overfull = |member: &&Member| member.expected_running() > SLOTS;
    let remote = directory.members().iter();
    let remote = remote.filter(|m| *m.instance.failure_domain != *"a");
    assert_eq!(remote.filter(is_overfull).count(), 0);
}

/// Load reports to other domains are bounded, so that their bytes do not grow with the deployment.
#[test]
fn few_receivers_of_load_reports_are_in_other_domains() {
    for (balancers, agents) in [(6, 14), (30, 60)] {
        let mut directory = Directory::new("Agent-a-1".into());
        for domain in ["a", "b", "c"] {
            for host in 1..=balancers {
                let balancer = instance(InstanceRole::Balancer, domain, host);
                add(&mut directory, balancer, None);
            }
            for host in 1..=agents {
                let agent = instance(InstanceRole::Agent, domain, host);
                add(&mut directory, agent, Some(load(0)));
            }
        }
        let receivers = choose_load_receivers(&directory, "a", &load(0), NOW_MS);
        let members = directory.members().iter();
        let chosen = members.filter(|m| receivers.contains(&m.instance.control_address));
        let (local, remote): (Vec<_>, Vec<_>) =
            chosen.partition(|member| *member.instance.failure_domain == *"a");
        assert!(receivers.len() <= 40);
        assert!(remote.len() <= 14, "{} in other domains", remote.len());
        assert!(local.len() >= 16, "{} in the own domain", local.len());
    }
}
