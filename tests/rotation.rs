//! Tests of how balancers of one failure domain leave the fabric's rotation one after the other.

mod simulation;

use bamboowind::forward::balancer::rotation::Rotation;
use simulation::Simulation;

#[test]
fn a_stopping_balancer_stays_in_rotation_until_enough_others_are() {
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
        "the fabric may not have detected the change yet"
    );
    assert!(rotation.has_left(12_500));
}

#[test]
fn a_stopping_balancer_leaves_within_the_grace_period_regardless_of_others() {
    let mut rotation = Rotation::new();
    rotation.update(true, false, 0);
    rotation.stop(10_000);
    for now_ms in (10_000..16_000).step_by(50) {
        rotation.update(true, false, now_ms);
        if rotation.has_left(now_ms) {
            assert!(now_ms <= 15_000, "the balancer left only at {now_ms} ms");
            return;
        }
    }
    panic!("the balancer did not leave");
}

#[test]
fn a_balancer_that_cannot_forward_leaves_immediately() {
    let mut rotation = Rotation::new();
    rotation.stop(10_000);
    rotation.update(false, false, 10_000);
    assert!(!rotation.is_ready());
}

/// While one of three balancers of a failure domain is out of rotation, a second must not leave.
#[test]
fn two_of_three_balancers_do_not_leave_at_the_same_time() {
    let mut sim = Simulation::new(3, 1, 5, 20);
    for core in &mut sim.balancers {
        core.peering.set_in_rotation(true);
    }
    sim.advance(500);
    let can_leave = |sim: &Simulation| {
        let directory = &sim.balancers[0].peering.directory;
        directory.can_leave_rotation("a", sim.now_ms)
    };
    assert!(can_leave(&sim));
    sim.balancers[1].peering.set_in_rotation(false);
    sim.advance(300);
    assert!(
        !can_leave(&sim),
        "one of the two other balancers is not in rotation"
    );
    sim.balancers[1].peering.set_in_rotation(true);
    sim.advance(300);
    assert!(can_leave(&sim));
}
