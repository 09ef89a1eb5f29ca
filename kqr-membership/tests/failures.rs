//! Tests of a cell under specific failures, each over several seeds.

mod network;

use std::time::Duration;

use kqr_membership::Input;
use kqr_types::{InstanceId, MemberState};
use network::{Network, id};
use rand::RngExt;

const SEEDS: u64 = 100;
const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
/// Time within which the keys of a failed entry must have a new home.
const MOVE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Runs until `condition` holds. Returns the time that this took, or `None` if it exceeds `limit`.
fn run_until<Condition>(network: &mut Network, limit: Duration, condition: Condition) -> Option<Duration>
where
    Condition: Fn(&Network) -> bool,
{
    let begin = network.now;
    while !condition(network) {
        if network.now.since(begin) >= limit {
            return None;
        }
        network.run(STEP);
    }
    Some(network.now.since(begin))
}

/// Returns whether all of `members` hold leases of an epoch without `lost`.
fn have_moved_on(network: &Network, members: &[InstanceId], lost: &InstanceId) -> bool {
    members
        .iter()
        .all(|member| network.holds_lease(member) && network.view(member).member(lost).is_none())
}

fn others(network: &Network, excluded: &InstanceId) -> Vec<InstanceId> {
    network.ids().into_iter().filter(|id| id != excluded).collect()
}

/// Isolates the leader or another member for each seed. Returns the longest and the median time until the
/// other members hold leases of an epoch without it.
fn measure_moves(is_leader: bool) -> (Duration, Duration) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        assert!(network.is_converged(), "seed {seed}: {}", network.describe());
        let leader = network.leader().unwrap();
        let isolated = if is_leader {
            leader
        } else {
            others(&network, &leader)[0].clone()
        };
        let remaining = others(&network, &isolated);
        network.isolate(&isolated, true);
        let time = run_until(&mut network, MOVE_TIMEOUT, |network| {
            have_moved_on(network, &remaining, &isolated)
        });
        times.push(time.unwrap_or_else(|| {
            panic!(
                "seed {seed}: no epoch without the isolated member: {}",
                network.describe()
            )
        }));
        network.assert_no_violation();
        assert!(!network.holds_lease(&isolated), "seed {seed}");
        network.isolate(&isolated, false);
        assert!(
            run_until(&mut network, 5 * SECOND, Network::is_converged).is_some(),
            "seed {seed}: the cell did not converge"
        );
        network.assert_no_violation();
    }
    times.sort_unstable();
    (times[times.len() - 1], times[times.len() / 2])
}

#[test]
fn keys_of_an_isolated_member_move_once_its_lease_ends() {
    let (longest, median) = measure_moves(false);
    println!("another member: longest {longest:?}, median {median:?}");
    let (longest, median) = measure_moves(true);
    println!("the leader: longest {longest:?}, median {median:?}");
}

#[test]
fn cell_survives_the_loss_of_a_second_instance_right_after_a_repair() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        network.crash(&id("c"));
        network.run(3 * SECOND);
        network.start(&id("c"));
        assert!(
            run_until(&mut network, 5 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        let lost = if seed % 2 == 0 { id("a") } else { id("b") };
        network.crash(&lost);
        let remaining = others(&network, &lost);
        let time = run_until(&mut network, MOVE_TIMEOUT, |network| {
            have_moved_on(network, &remaining, &lost)
        });
        assert!(time.is_some(), "seed {seed}: {}", network.describe());
        network.assert_no_violation();
    }
}

#[test]
fn restarted_member_is_syncing_until_its_copy_is_complete() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        let old = network.identity(&id("c"));
        network.crash(&id("c"));
        network.start(&id("c"));
        let is_back = |network: &Network| {
            network
                .view(&id("a"))
                .member(&id("c"))
                .is_some_and(|c| c.incarnation > old.incarnation)
        };
        assert!(
            run_until(&mut network, 5 * SECOND, is_back).is_some(),
            "seed {seed}"
        );
        let state = network.view(&id("a")).member(&id("c")).unwrap().state;
        assert_eq!(state, MemberState::Syncing, "seed {seed}");
        assert!(
            run_until(&mut network, 5 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        network.assert_no_violation();
    }
}

#[test]
fn two_flapping_members_cause_few_epochs_and_no_violation() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c", "d", "e"], &[]);
        let before = network.views.len();
        for _ in 0..60 {
            let span = Duration::from_millis(network.rng.random_range(100..900));
            network.run(span);
            let (is_first, is_second) = (network.rng.random(), network.rng.random());
            network.isolate(&id("a"), is_first);
            network.isolate(&id("b"), is_second);
        }
        network.assert_no_violation();
        let epochs = network.views.len() - before;
        assert!(epochs <= 90, "seed {seed}: {epochs} epochs in about 30 s");
        network.isolate(&id("a"), false);
        network.isolate(&id("b"), false);
        assert!(
            run_until(&mut network, 6 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn witness_preserves_the_quorum_of_two_members_and_a_lone_member_loses_its_lease() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b"], &["w"]);
        assert!(network.is_converged(), "seed {seed}");
        assert!(network.view(&id("a")).member(&id("w")).is_none());
        network.crash(&id("b"));
        let moved = |network: &Network| have_moved_on(network, &[id("a")], &id("b"));
        assert!(
            run_until(&mut network, MOVE_TIMEOUT, moved).is_some(),
            "seed {seed}"
        );
        network.isolate(&id("w"), true);
        network.run(2 * SECOND);
        assert!(
            !network.holds_lease(&id("a")),
            "seed {seed}: a member holds a lease without a quorum"
        );
        network.isolate(&id("w"), false);
        let has_resumed = |network: &Network| network.holds_lease(&id("a"));
        assert!(
            run_until(&mut network, 3 * SECOND, has_resumed).is_some(),
            "seed {seed}"
        );
        network.assert_no_violation();
    }
}

#[test]
fn cell_of_one_member_and_two_witnesses_survives_a_restart() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a"], &["v", "w"]);
        assert!(network.is_converged(), "seed {seed}");
        let before = network.instances[&id("a")].since;
        network.crash(&id("a"));
        network.start(&id("a"));
        assert!(
            run_until(&mut network, 8 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        assert!(
            network.instances[&id("a")].since > before,
            "seed {seed}: `since` must advance, as the records were lost"
        );
        network.assert_no_violation();
    }
}

#[test]
fn member_rejoins_after_a_long_partition() {
    for seed in 0..10 {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        network.isolate(&id("c"), true);
        for _ in 0..100 {
            network.run(2 * SECOND);
            let is_isolated = network.rng.random();
            network.isolate(&id("b"), is_isolated);
        }
        network.isolate(&id("b"), false);
        network.run(3 * SECOND);
        network.isolate(&id("c"), false);
        assert!(
            run_until(&mut network, 6 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        network.assert_no_violation();
    }
}

#[test]
fn cold_start_needs_a_quorum_and_advances_since() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        let last = network.view(&id("a")).epoch;
        for id in network.ids() {
            network.crash(&id);
        }
        let cold = network.now;
        network.start(&id("a"));
        network.run(5 * SECOND);
        assert!(
            network.view(&id("a")).members.is_empty(),
            "seed {seed}: an epoch was agreed on without a quorum"
        );
        network.start(&id("b"));
        let has_resumed = |network: &Network| have_moved_on(network, &[id("a"), id("b")], &id("c"));
        assert!(
            run_until(&mut network, 6 * SECOND, has_resumed).is_some(),
            "seed {seed}"
        );
        assert!(network.view(&id("a")).epoch > last, "seed {seed}");
        assert!(
            network.instances[&id("a")].since.0 >= cold.0 / 1_000,
            "seed {seed}"
        );
        network.start(&id("c"));
        assert!(
            run_until(&mut network, 6 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        network.assert_no_violation();
    }
}

#[test]
fn leaving_member_is_removed_without_waiting_for_its_lease() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        let leader = network.leader().unwrap();
        let leaving = if seed % 2 == 0 {
            leader
        } else {
            others(&network, &leader)[0].clone()
        };
        let remaining = others(&network, &leaving);
        network.handle(&leaving, Input::Leave);
        assert!(!network.holds_lease(&leaving), "seed {seed}");
        let has_left = |network: &Network| {
            network.instances[&leaving].has_left && have_moved_on(network, &remaining, &leaving)
        };
        let time = run_until(&mut network, SECOND / 2, has_left);
        assert!(time.is_some(), "seed {seed}: {}", network.describe());
        network.assert_no_violation();
    }
}

#[test]
fn non_voting_members_hold_leases_and_are_replaced() {
    for seed in 0..SEEDS / 5 {
        let mut network = Network::new(seed, &["a", "b", "c", "d", "e"], &[]);
        network.non_voters = vec![id("d"), id("e")];
        network.start_all();
        assert!(
            run_until(&mut network, 8 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        network.crash(&id("d"));
        let remaining = others(&network, &id("d"));
        let moved = |network: &Network| have_moved_on(network, &remaining, &id("d"));
        assert!(
            run_until(&mut network, MOVE_TIMEOUT, moved).is_some(),
            "seed {seed}"
        );
        network.start(&id("d"));
        assert!(
            run_until(&mut network, 5 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        network.assert_no_violation();
    }
}

#[test]
fn even_cell_without_a_witness_founds_a_new_group_after_a_restart() {
    for seed in 0..SEEDS / 5 {
        let mut network = Network::settled(seed, &["a", "b"], &[]);
        let before = network.instances[&id("a")].since;
        network.crash(&id("b"));
        network.start(&id("b"));
        assert!(
            run_until(&mut network, 15 * SECOND, Network::is_converged).is_some(),
            "seed {seed}"
        );
        assert!(
            network.instances[&id("a")].since > before,
            "seed {seed}: `since` must advance, as the records were lost"
        );
        network.assert_no_violation();
    }
}

#[test]
fn violation_by_clocks_beyond_the_configured_drift_is_detected() {
    let has_violation = |seed| {
        let mut network = Network::new(seed, &["a", "b", "c"], &[]);
        network.drift_per_mille = 300;
        network.start_all();
        for _ in 0..20 {
            network.run(3 * SECOND);
            let isolated = network.ids()[network.rng.random_range(0..3)].clone();
            network.isolate(&isolated, true);
            network.run(3 * SECOND);
            network.isolate(&isolated, false);
        }
        network.violation.is_some()
    };
    assert!(
        (0..50).any(has_violation),
        "no run had overlapping leases of two epochs"
    );
}

#[test]
fn each_instance_sends_at_most_4_kib_per_second() {
    for (members, witnesses) in [(3, 0), (2, 1), (5, 0), (9, 0)] {
        let names: Vec<String> = (0..members)
            .map(|number| format!("entry-{number}.tt-south-a"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let witness: &[&str] = if witnesses > 0 {
            &["witness-0.tt-south-b"]
        } else {
            &[]
        };
        let mut network = Network::settled(1, &names, witness);
        assert!(network.is_converged());
        let before: Vec<u64> = network
            .instances
            .values()
            .map(|instance| instance.bytes)
            .collect();
        let span = 60;
        network.run(span * SECOND);
        let sent = network
            .instances
            .values()
            .zip(before)
            .map(|(instance, before)| instance.bytes - before);
        let most = sent.max().unwrap() / u64::from(span);
        println!("{members} members, {witnesses} witnesses: at most {most} bytes a second sent by one");
        assert!(most <= 4_096, "{members} members: {most} bytes a second");
    }
}
