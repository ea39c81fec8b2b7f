//! Balancers of one failure domain that are restarted in turn.

mod world;

use bamboowind::forward::rotation::Rotation;
use world::World;

#[test]
fn a_stopping_balancer_waits_while_too_few_others_are_in_rotation() {
    let mut rotation = Rotation::new();
    rotation.update(true, false, 0);
    assert!(rotation.is_ready());
    rotation.stop(10_000);
    rotation.update(true, false, 10_000);
    assert!(rotation.is_ready() && rotation.is_in_rotation(10_000));
    rotation.update(true, true, 11_000);
    assert!(!rotation.is_ready());
    assert!(
        !rotation.has_left(12_400),
        "the fabric may not have noticed"
    );
    assert!(rotation.has_left(12_500));
}

#[test]
fn a_stopping_balancer_ends_within_the_grace_time_whatever_the_others_do() {
    let mut rotation = Rotation::new();
    rotation.update(true, false, 0);
    rotation.stop(10_000);
    for now_ms in (10_000..16_000).step_by(50) {
        rotation.update(true, false, now_ms);
        if rotation.has_left(now_ms) {
            assert!(now_ms <= 15_000, "it ended at {now_ms} ms");
            return;
        }
    }
    panic!("it did not end");
}

#[test]
fn a_balancer_that_cannot_forward_leaves_at_once() {
    let mut rotation = Rotation::new();
    rotation.stop(10_000);
    rotation.update(false, false, 10_000);
    assert!(!rotation.is_ready());
}

/// Three balancers of one failure domain: while one is away, a second must not leave.
#[test]
fn two_of_three_balancers_do_not_leave_together() {
    let mut world = World::new(3, 1, 5, 20);
    for core in &mut world.balancers {
        core.peering.set_in_rotation(true);
    }
    world.advance(500);
    let can_leave = |world: &World| {
        let directory = &world.balancers[0].peering.directory;
        directory.can_leave_rotation("a", world.now_ms)
    };
    assert!(can_leave(&world));
    world.balancers[1].peering.set_in_rotation(false);
    world.advance(300);
    assert!(
        !can_leave(&world),
        "one of the two others is not in rotation"
    );
    world.balancers[1].peering.set_in_rotation(true);
    world.advance(300);
    assert!(can_leave(&world));
}
