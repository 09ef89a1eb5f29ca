//! Tests of announcements, leaves and expiry among the entries of a data centre, with message loss, cut links
//! and restarts.

mod net;

use std::time::Duration;

use kqr_directory::{EXPIRE_AFTER, Input, Output, SUSPECT_AFTER};
use kqr_types::Incarnation;
use net::{Net, START, target};
use rand::RngExt;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which a leave must reach all entries.
const MAX_LEAVE_DELAY: Duration = Duration::from_secs(2);
/// Limit of the bytes that an entry sends and receives per second.
const MAX_BYTES_PER_SECOND: u64 = 4000;

/// Renews each target every 2 s at a random entry.
fn renew_all(net: &mut Net, targets: usize) {
    let turn = (net.now.since(START).as_millis() / 50) as usize;
    for number in 0..targets {
        if (turn + number).is_multiple_of(40) {
            let entry = net.rng.random_range(0..net.entries.len());
            net.announce(entry, target(number, 1));
        }
    }
}

#[test]
fn traffic_for_400_targets_stays_below_the_limit() {
    for (seed, entries, loss) in [(1, 7, 0.0), (2, 7, 0.2), (3, 20, 0.0), (4, 20, 0.1)] {
        let mut net = Net::new(entries, seed, loss);
        net.run_with(10 * SECOND, |net| renew_all(net, 400));
        assert!(net.is_converged() && net.entries[0].len() == 400, "seed {seed}");
        net.bytes.fill(0);
        net.message_counts.clear();
        net.outputs.clear();
        net.run_with(60 * SECOND, |net| renew_all(net, 400));
        let max = net.bytes.iter().max().unwrap() / 60;
        println!(
            "{entries} entries, loss {loss}: {max} bytes/s per entry, {:?}",
            net.message_counts
        );
        assert!(max < MAX_BYTES_PER_SECOND, "seed {seed}: {max} bytes/s");
        assert!(
            !net.message_counts.contains_key("pull"),
            "seed {seed}: {:?}",
            net.message_counts
        );
        assert_eq!(
            net.outputs.len(),
            0,
            "seed {seed}: unexpected output in a steady state: {:?}",
            net.outputs[0]
        );
    }
}

#[test]
fn leave_reaches_every_entry_in_time_under_loss() {
    for seed in 0..200 {
        let mut net = Net::new(7, seed, 0.2);
        for number in 0..20 {
            net.announce(number % 7, target(number, 1));
        }
        net.run(3 * SECOND);
        let id = target(5, 1).id;
        net.leave((seed % 7) as usize, &id, None);
        net.run(MAX_LEAVE_DELAY);
        assert!(net.is_leaving_everywhere(&id), "seed {seed}");
        let leaves = net.count_outputs(|output| *output == Output::Leaving(id.clone()));
        assert_eq!(leaves, 7, "seed {seed}: each entry reports the leave once");
    }
}

#[test]
fn target_that_renews_at_one_entry_expires_nowhere() {
    for seed in 0..10 {
        let mut net = Net::new(7, seed, 0.2);
        net.cut_link(0, 1);
        net.cut_link(0, 2);
        net.run_with(90 * SECOND, |net| {
            if net.now.since(START).as_millis() % 2000 < 50 {
                net.announce(0, target(1, 1));
            }
        });
        let lost = net.count_outputs(|output| matches!(output, Output::Gone(_)));
        assert_eq!(lost, 0, "seed {seed}");
        assert!(net.entries.iter().all(|entry| entry.len() == 1), "seed {seed}");
    }
}

#[test]
fn target_that_stops_renewing_is_suspected_and_then_expires_everywhere() {
    for seed in 0..10 {
        let mut net = Net::new(7, seed, 0.2);
        net.run_with(20 * SECOND, |net| renew_all(net, 30));
        net.outputs.clear();
        let id = target(7, 1).id;
        net.announce(3, target(7, 1));
        let last = net.now;
        net.run_with(EXPIRE_AFTER + 2 * SECOND, |net| {
            let turn = (net.now.since(START).as_millis() / 50) as usize;
            for number in (0..30).filter(|number| *number != 7 && (turn + number).is_multiple_of(20)) {
                net.announce(number % 7, target(number, 1));
            }
        });
        for entry in 0..7 {
            let of_entry: Vec<_> = net.outputs.iter().filter(|(_, at, _)| *at == entry).collect();
            let [(suspected, _, first), (gone, _, second)] = of_entry.as_slice() else {
                panic!("seed {seed}, entry {entry}: {of_entry:?}");
            };
            assert_eq!(
                (first, second),
                (&Output::Suspect(id.clone()), &Output::Gone(id.clone())),
                "seed {seed}"
            );
            assert!(
                suspected.since(last) <= SUSPECT_AFTER + SECOND,
                "seed {seed}, entry {entry}"
            );
            assert!(
                gone.since(last) <= EXPIRE_AFTER + SECOND,
                "seed {seed}, entry {entry}"
            );
        }
        assert!(net.is_converged(), "seed {seed}");
    }
}

#[test]
fn leave_overrides_late_renewals_but_not_a_new_incarnation() {
    let mut net = Net::new(3, 1, 0.0);
    let id = target(1, 4).id;
    net.announce(0, target(1, 4));
    net.step();
    net.leave(1, &id, Some(4));
    net.announce(2, target(1, 4));
    net.run(SECOND);
    assert!(
        net.is_leaving_everywhere(&id),
        "the leave overrides the renewal at each entry"
    );
    net.run(EXPIRE_AFTER + SECOND);
    assert!(
        net.entries.iter().all(kqr_directory::Directory::is_empty),
        "a target that left is removed"
    );
    net.announce(2, target(1, 4));
    net.run(2 * SECOND);
    assert!(
        net.entries.iter().all(kqr_directory::Directory::is_empty),
        "a late renewal does not restore the ended incarnation"
    );
    net.announce(2, target(1, 5));
    net.leave(0, &id, Some(4));
    net.run(2 * SECOND);
    assert!(
        net.entries
            .iter()
            .all(|entry| entry.get(&id).is_some_and(|record| !record.is_leaving)),
        "the new incarnation is present, and a late leave of the old one does not affect it"
    );
}

#[test]
fn new_address_reaches_every_entry_and_an_old_incarnation_does_not_return() {
    for seed in 0..20 {
        let mut net = Net::new(7, seed, 0.2);
        net.announce(0, target(1, 1));
        net.run(SECOND);
        let mut moved = target(1, 1);
        moved.address = "10.9.9.9:7500".parse().unwrap();
        net.announce(1, moved.clone());
        net.run(2 * SECOND);
        let at = |net: &Net, entry: usize| net.entries[entry].get(&moved.id).unwrap().announcement.clone();
        assert!(
            (0..7).all(|entry| at(&net, entry) == moved),
            "seed {seed}: changed within an incarnation"
        );
        moved.incarnation = Incarnation(2);
        moved.address = "10.8.8.8:7500".parse().unwrap();
        net.announce(2, moved.clone());
        net.announce(3, target(1, 1));
        net.run(2 * SECOND);
        net.announce(4, target(1, 1));
        net.run(2 * SECOND);
        assert!(
            (0..7).all(|entry| at(&net, entry) == moved),
            "seed {seed}: changed by a restart"
        );
    }
}

#[test]
fn restarted_entry_catches_up_in_one_exchange() {
    let mut net = Net::new(7, 1, 0.0);
    net.run_with(5 * SECOND, |net| renew_all(net, 400));
    net.message_counts.clear();
    net.restart(3);
    net.deliver();
    assert_eq!(net.entries[3].len(), 400);
    assert_eq!((net.message_counts["pull"], net.message_counts["pulled"]), (1, 1));
}

#[test]
fn leave_reported_to_a_restarted_entry_is_not_lost() {
    for seed in 0..20 {
        let mut net = Net::new(4, seed, 0.2);
        net.announce(0, target(1, 1));
        net.run(2 * SECOND);
        net.restart(2);
        let id = target(1, 1).id;
        net.leave(2, &id, Some(1));
        net.run(4 * SECOND);
        assert!(net.is_leaving_everywhere(&id), "seed {seed}");
    }
}

#[test]
fn isolated_entry_keeps_its_targets_and_converges_again() {
    let mut net = Net::new(3, 1, 0.0);
    net.run_with(5 * SECOND, |net| renew_all(net, 40));
    net.cut_link(0, 1);
    net.cut_link(0, 2);
    let renew_elsewhere = |net: &mut Net| {
        let turn = (net.now.since(START).as_millis() / 50) as usize;
        for number in (0..40).filter(|number| (turn + number).is_multiple_of(20)) {
            net.announce(1 + number % 2, target(number, 1));
        }
    };
    net.run_with(60 * SECOND, renew_elsewhere);
    assert_eq!(
        net.entries[0].len(),
        40,
        "an isolated entry must not expire targets"
    );
    net.leave(1, &target(3, 1).id, None);
    net.cut_links.clear();
    net.run_with(4 * SECOND, renew_elsewhere);
    assert!(net.is_leaving_everywhere(&target(3, 1).id));
    assert!(net.is_converged());
    assert_eq!(net.count_outputs(|output| matches!(output, Output::Gone(_))), 0);
}

#[test]
fn entries_converge_after_random_histories() {
    for seed in 0..120 {
        let mut net = Net::new(5, seed, 0.3);
        for _ in 0..300 {
            let entry = net.rng.random_range(0..5);
            let number = net.rng.random_range(0..12);
            let incarnation = net.rng.random_range(1..4);
            let mut announcement = target(number, incarnation);
            announcement.slots.0 = net.rng.random_range(1..4);
            match net.rng.random_range(0..20) {
                0 => net.leave(entry, &announcement.id, Some(incarnation)),
                1 => net.restart(entry),
                2 => net.cut_link(entry, (entry + 1) % 5),
                3 => net.cut_links.clear(),
                4 => net.handle(entry, Input::Tick),
                _ => net.announce(entry, announcement),
            }
            net.step();
        }
        net.cut_links.clear();
        net.loss = 0.0;
        net.run_with(6 * SECOND, |net| {
            for number in 0..12 {
                let id = target(number, 1).id;
                let records = net.entries.iter().filter_map(|entry| entry.get(&id));
                let latest = records.max_by_key(|record| record.version()).cloned();
                let entry = net.rng.random_range(0..5);
                if let Some(record) = latest {
                    net.announce(entry, record.announcement);
                }
            }
        });
        assert!(net.is_converged(), "seed {seed}");
    }
}
