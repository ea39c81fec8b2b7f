//! What instances conclude from a list that the store returns after it was restored from an older
//! copy: entries of instances that have left are back, and those of newer instances are missing.

use bamboowind::{
    control::store::{StoreEra, StoreReply},
    flow::routes::RouteVersion,
    forward::peering::Peering,
    membership::{
        evacuation_set::EvacuationSet,
        instance::{Instance, InstanceRole, Presence, TargetLoad, TargetState},
    },
};

const VERSION: RouteVersion = RouteVersion {
    number: 1,
    era: StoreEra(1),
};

fn agent(name: &str, incarnation: u64, host: u8) -> Instance {
    Instance {
        name: name.into(),
        incarnation,
        role: InstanceRole::Agent,
        failure_domain: "a".into(),
        packet_address: format!("10.0.1.{host}:8000").parse().unwrap(),
        control_address: format!("10.0.1.{host}:7000").parse().unwrap(),
    }
}

fn presence(instance: &Instance, state: TargetState) -> Presence {
    let load = TargetLoad {
        state,
        service: Some("catalogo".into()),
        capacity: 5,
        ..TargetLoad::default()
    };
    Presence {
        instance: instance.clone(),
        leaving_for_ms: None,
        route_version: VERSION,
        load: Some(load),
        reaches_store: true,
        is_in_rotation: false,
        next_within_ms: 200,
        receiver_was_draining: false,
        evacuations: EvacuationSet::default(),
        limits_cold_targets: false,
        history_ms: 0,
    }
}

fn listing(era: u64, instances: &[&Instance]) -> StoreReply<Vec<Instance>> {
    let instances = instances.iter().map(|instance| (*instance).clone());
    StoreReply::new(StoreEra(era), instances.collect())
}

/// Sends a load report of `agent` at 200 ms and checks that it changes what is known of the agent.
fn assert_load_report_is_applied(peering: &mut Peering, agent: &Instance) {
    let load = TargetLoad {
        state: TargetState::Ready,
        running: 4,
        ..TargetLoad::default()
    };
    peering.handle_load(agent.control_address, &load, 200);
    let member = peering.directory.member(&agent.name).unwrap();
    assert_eq!((member.load.running, member.last_heard_at_ms), (4, 200));
}

fn local_peering() -> Peering {
    Peering::new(agent("m-local", 1, 1), Vec::new(), 0)
}

// The entry of an instance that has left returns with the copy, and its name sorts first.
#[test]
fn load_reports_from_an_address_that_a_returned_entry_names_are_applied() {
    let mut peering = local_peering();
    let (left, successor) = (agent("a-left", 1, 2), agent("b-successor", 2, 2));
    peering.handle_presence(
        presence(&successor, TargetState::Ready),
        false,
        VERSION,
        None,
        0,
    );
    peering.handle_listing(listing(2, &[&left, &successor]), VERSION, None, 100);
    assert_load_report_is_applied(&mut peering, &successor);
}

// The same in the other order: the returned entry is read before its successor is heard.
#[test]
fn an_instance_that_is_heard_replaces_a_listed_one_at_its_address() {
    let mut peering = local_peering();
    let (left, successor) = (agent("a-left", 1, 2), agent("b-successor", 2, 2));
    peering.handle_listing(listing(2, &[&left]), VERSION, None, 0);
    peering.handle_presence(
        presence(&successor, TargetState::Ready),
        false,
        VERSION,
        None,
        100,
    );
    assert_load_report_is_applied(&mut peering, &successor);
    let view = peering.directory.search_view(7, u64::MAX, 300);
    let awaited = view.awaited.map(|member| &*member.instance.name);
    assert_eq!(
        awaited, None,
        "nothing runs at the address but the successor"
    );
}

/// Whether the agent `name` is awaited by searches.
fn is_awaited(peering: &Peering, name: &str, now_ms: u64) -> bool {
    let view = peering.directory.search_view(7, u64::MAX, now_ms);
    view.awaited
        .is_some_and(|member| *member.instance.name == *name)
}

// An agent that is away, whose target may hold flows, is missing in the list after a restore.
#[test]
fn an_agent_that_a_restored_store_lost_is_awaited_until_its_lease_would_have_ended() {
    let mut peering = local_peering();
    let away = agent("a-away", 1, 2);
    peering.handle_presence(presence(&away, TargetState::Ready), false, VERSION, None, 0);
    peering.handle_listing(listing(1, &[&away]), VERSION, None, 0);
    peering.handle_listing(listing(2, &[]), VERSION, None, 10_000);
    assert!(is_awaited(&peering, "a-away", 20_000));
    peering.handle_listing(listing(2, &[]), VERSION, None, 30_000);
    assert!(!is_awaited(&peering, "a-away", 30_000));
}

// Within one era a missing entry means that its lease has ended.
#[test]
fn an_agent_whose_lease_has_ended_is_not_awaited_for_longer() {
    let mut peering = local_peering();
    let away = agent("a-away", 1, 2);
    peering.handle_presence(presence(&away, TargetState::Ready), false, VERSION, None, 0);
    peering.handle_listing(listing(1, &[&away]), VERSION, None, 0);
    peering.handle_listing(listing(1, &[]), VERSION, None, 10_000);
    assert!(!is_awaited(&peering, "a-away", 20_000));
}
