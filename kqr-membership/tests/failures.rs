//! Named failures of a cell, each over several seeds.

mod network;

use std::time::Duration;

use kqr_membership::Input;
use kqr_types::{InstanceId, MemberState};
use network::{Network, id};
use rand::RngExt;

const SEEDS: u64 = 100;
const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
/// How long the keys of a dead entry may stay without a home.
const MOVED_WITHIN: Duration = Duration::from_millis(2_500);

/// Runs until `is_reached`, at most for `limit`; returns how long it took.
fn run_until<Reached>(network: &mut Network, limit: Duration, is_reached: Reached) -> Option<Duration>
where
    Reached: Fn(&Network) -> bool,
{
    let begin = network.now;
    while !is_reached(network) {
        if network.now.since(begin) >= limit {
            return None;
        }
        network.run(STEP);
    }
    Some(network.now.since(begin))
}

/// Returns whether all of `members` hold leases of an epoch without `gone`.
fn have_moved(network: &Network, members: &[InstanceId], gone: &InstanceId) -> bool {
    members
        .iter()
        .all(|member| network.holds_lease(member) && network.view(member).member(gone).is_none())
}

fn others(network: &Network, gone: &InstanceId) -> Vec<InstanceId> {
    network.ids().into_iter().filter(|id| id != gone).collect()
}

/// Isolates the leader or another member in each seed; returns the longest and the median time until the others go on.
fn moves(is_leader: bool) -> (Duration, Duration) {
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        assert!(network.is_whole(), "seed {seed}:{}", network.describe());
        let leader = network.leader().unwrap();
        let gone = if is_leader {
            leader
        } else {
            others(&network, &leader)[0].clone()
        };
        let rest = others(&network, &gone);
        network.isolate(&gone, true);
        let time = run_until(&mut network, MOVED_WITHIN, |network| {
            have_moved(network, &rest, &gone)
        });
        times.push(time.unwrap_or_else(|| panic!("seed {seed}: not moved:{}", network.describe())));
        network.assert_sound();
        assert!(!network.holds_lease(&gone), "seed {seed}");
        network.isolate(&gone, false);
        assert!(
            run_until(&mut network, 5 * SECOND, Network::is_whole).is_some(),
            "seed {seed}: not whole"
        );
        network.assert_sound();
    }
    times.sort_unstable();
    (times[times.len() - 1], times[times.len() / 2])
}

#[test]
fn the_keys_of_an_isolated_member_move_after_its_lease() {
    let (longest, median) = moves(false);
    println!("another member: longest {longest:?}, median {median:?}");
    let (longest, median) = moves(true);
    println!("the leader: longest {longest:?}, median {median:?}");
}

#[test]
fn a_second_instance_is_lost_right_after_a_repair() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        network.crash(&id("c"));
        network.run(3 * SECOND);
        network.start(&id("c"));
        assert!(
            run_until(&mut network, 5 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        let gone = if seed % 2 == 0 { id("a") } else { id("b") };
        network.crash(&gone);
        let rest = others(&network, &gone);
        let time = run_until(&mut network, MOVED_WITHIN, |network| {
            have_moved(network, &rest, &gone)
        });
        assert!(time.is_some(), "seed {seed}: {}", network.describe());
        network.assert_sound();
    }
}

#[test]
fn a_restarted_member_is_no_home_before_its_copy_is_complete() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        let old = network.life(&id("c"));
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
            run_until(&mut network, 5 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        network.assert_sound();
    }
}

#[test]
fn two_flapping_members_cost_few_epochs_and_no_promise() {
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
        network.assert_sound();
        let epochs = network.views.len() - before;
        assert!(epochs <= 90, "seed {seed}: {epochs} epochs in about 30 s");
        network.isolate(&id("a"), false);
        network.isolate(&id("b"), false);
        assert!(
            run_until(&mut network, 6 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_witness_keeps_a_cell_of_two_going_and_a_lone_member_stops() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b"], &["w"]);
        assert!(network.is_whole(), "seed {seed}");
        assert!(network.view(&id("a")).member(&id("w")).is_none());
        network.crash(&id("b"));
        let moved = |network: &Network| have_moved(network, &[id("a")], &id("b"));
        assert!(
            run_until(&mut network, MOVED_WITHIN, moved).is_some(),
            "seed {seed}"
        );
        network.isolate(&id("w"), true);
        network.run(2 * SECOND);
        assert!(
            !network.holds_lease(&id("a")),
            "seed {seed}: acts without a quorum"
        );
        network.isolate(&id("w"), false);
        let goes_on = |network: &Network| network.holds_lease(&id("a"));
        assert!(
            run_until(&mut network, 3 * SECOND, goes_on).is_some(),
            "seed {seed}"
        );
        network.assert_sound();
    }
}

#[test]
fn a_cell_of_one_survives_its_restart_with_its_witnesses() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a"], &["v", "w"]);
        assert!(network.is_whole(), "seed {seed}");
        let before = network.nodes[&id("a")].since;
        network.crash(&id("a"));
        network.start(&id("a"));
        assert!(
            run_until(&mut network, 8 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        assert!(
            network.nodes[&id("a")].since > before,
            "seed {seed}: claims to remember"
        );
        network.assert_sound();
    }
}

#[test]
fn a_member_returns_after_a_long_absence() {
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
            run_until(&mut network, 6 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        network.assert_sound();
    }
}

#[test]
fn a_cold_start_needs_a_quorum_and_says_since_when_it_remembers() {
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
            "seed {seed}: an epoch without a quorum"
        );
        network.start(&id("b"));
        let goes_on = |network: &Network| have_moved(network, &[id("a"), id("b")], &id("c"));
        assert!(
            run_until(&mut network, 6 * SECOND, goes_on).is_some(),
            "seed {seed}"
        );
        assert!(network.view(&id("a")).epoch > last, "seed {seed}");
        assert!(network.nodes[&id("a")].since.0 >= cold.0 / 1_000, "seed {seed}");
        network.start(&id("c"));
        assert!(
            run_until(&mut network, 6 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        network.assert_sound();
    }
}

#[test]
fn a_leaving_member_needs_no_lease_to_run_out() {
    for seed in 0..SEEDS {
        let mut network = Network::settled(seed, &["a", "b", "c"], &[]);
        let leader = network.leader().unwrap();
        let gone = if seed % 2 == 0 {
            leader
        } else {
            others(&network, &leader)[0].clone()
        };
        let rest = others(&network, &gone);
        network.handle(&gone, Input::Leave);
        assert!(!network.holds_lease(&gone), "seed {seed}");
        let has_left = |network: &Network| network.nodes[&gone].has_left && have_moved(network, &rest, &gone);
        let time = run_until(&mut network, SECOND / 2, has_left);
        assert!(time.is_some(), "seed {seed}: {}", network.describe());
        network.assert_sound();
    }
}

#[test]
fn members_without_a_vote_hold_leases_and_are_replaced() {
    for seed in 0..SEEDS / 5 {
        let mut network = Network::new(seed, &["a", "b", "c", "d", "e"], &[]);
        network.extras = vec![id("d"), id("e")];
        network.start_all();
        assert!(
            run_until(&mut network, 8 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        network.crash(&id("d"));
        let rest = others(&network, &id("d"));
        let moved = |network: &Network| have_moved(network, &rest, &id("d"));
        assert!(
            run_until(&mut network, MOVED_WITHIN, moved).is_some(),
            "seed {seed}"
        );
        network.start(&id("d"));
        assert!(
            run_until(&mut network, 5 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        network.assert_sound();
    }
}

#[test]
fn an_even_cell_without_a_witness_is_founded_anew_after_a_restart() {
    for seed in 0..SEEDS / 5 {
        let mut network = Network::settled(seed, &["a", "b"], &[]);
        let before = network.nodes[&id("a")].since;
        network.crash(&id("b"));
        network.start(&id("b"));
        assert!(
            run_until(&mut network, 15 * SECOND, Network::is_whole).is_some(),
            "seed {seed}"
        );
        assert!(
            network.nodes[&id("a")].since > before,
            "seed {seed}: claims to remember"
        );
        network.assert_sound();
    }
}

#[test]
fn clocks_beyond_the_stated_drift_break_the_promise_and_are_seen() {
    let is_broken = |seed| {
        let mut network = Network::new(seed, &["a", "b", "c"], &[]);
        network.drift_per_mille = 300;
        network.start_all();
        for _ in 0..20 {
            network.run(3 * SECOND);
            let gone = network.ids()[network.rng.random_range(0..3)].clone();
            network.isolate(&gone, true);
            network.run(3 * SECOND);
            network.isolate(&gone, false);
        }
        network.broken.is_some()
    };
    assert!(
        (0..50).any(is_broken),
        "no history shows two epochs' leases at once"
    );
}

#[test]
fn a_cell_stays_under_4_kib_a_second_for_each_daemon() {
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
        assert!(network.is_whole());
        let before: Vec<u64> = network.nodes.values().map(|node| node.bytes).collect();
        let span = 60;
        network.run(span * SECOND);
        let sent = network
            .nodes
            .values()
            .zip(before)
            .map(|(node, before)| node.bytes - before);
        let most = sent.max().unwrap() / u64::from(span);
        println!("{members} members, {witnesses} witnesses: at most {most} bytes a second sent by one");
        assert!(most <= 4_096, "{members} members: {most} bytes a second");
    }
}
