//! A plan depends on its seed only, and its faults stay within what the system tolerates.

use std::time::Duration;

use kqr_soak::{ClusterSize, Fault, Plan};

const CLUSTER_SIZE: ClusterSize = ClusterSize {
    controls: 3,
    entries: 3,
    targets: 6,
};
const LENGTH: Duration = Duration::from_secs(12);

#[test]
fn a_seed_always_draws_the_same_faults() {
    assert_eq!(
        Plan::draw(7, CLUSTER_SIZE, LENGTH),
        Plan::draw(7, CLUSTER_SIZE, LENGTH)
    );
    assert_ne!(
        Plan::draw(7, CLUSTER_SIZE, LENGTH),
        Plan::draw(8, CLUSTER_SIZE, LENGTH)
    );
}

#[test]
fn no_control_instance_is_stopped_while_another_recovers_from_a_lost_disk() {
    for seed in 0..200 {
        let plan = Plan::draw(seed, CLUSTER_SIZE, LENGTH);
        for (index, planned) in plan.faults.iter().enumerate() {
            if !matches!(planned.fault, Fault::WipeControl(_)) {
                continue;
            }
            let recovered_at = planned.at + planned.duration + Duration::from_secs(8);
            let others = plan.faults.iter().skip(index + 1);
            let mut others = others.take_while(|other| other.at < recovered_at);
            assert!(
                !others.any(|other| matches!(
                    other.fault,
                    Fault::KillControl(_) | Fault::WipeControl(_) | Fault::TermControl(_)
                )),
                "seed {seed}: {plan:?}"
            );
        }
    }
}
