//! Assignment of targets to entries by the leading control instance.

mod control;

use std::collections::BTreeMap;

use control::{Control, entry, request, target};
use kqr_fleet::{EntryInfo, Resources, TargetRecord, TargetReport};
use kqr_types::Incarnation;

#[test]
fn an_entry_is_filled_to_its_limit_before_the_next() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "north", 250)];
    for number in 0..24 {
        control.report(target(number, "north"), false);
    }
    control.run_with_entries(3_000, &entries);
    let owned: Vec<usize> = entries.iter().map(|entry| control.owned_count(entry)).collect();
    assert_eq!(owned.iter().sum::<usize>(), 24);
    assert_eq!(owned.iter().max(), Some(&20), "limit of 80 targets per core");
}

/// A report with the highest sequence number would outdate all later ones of the target.
#[test]
fn a_report_out_of_range_does_not_outdate_true_ones() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250)];
    let known = target(1, "north");
    let mut odd = known.clone();
    odd.life = Incarnation(u64::MAX);
    for (record, sequence) in [(odd, 1), (known.clone(), u64::MAX)] {
        let report = TargetReport::Present {
            record,
            sequence,
            is_leaving: true,
        };
        assert!(control.submit_report(report));
    }
    control.report(known, false);
    control.run_with_entries(3_000, &entries);
    assert_eq!(control.owned_count(&entries[0]), 1);
}

#[test]
fn targets_are_assigned_to_entries_of_their_data_centre() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "south", 250)];
    control.report(target(1, "north"), false);
    control.report(target(1, "south"), false);
    control.run_with_entries(3_000, &entries);
    assert_eq!(control.owned_count(&entries[0]), 1);
    assert_eq!(control.owned_count(&entries[1]), 1);
}

#[test]
fn targets_of_a_lost_entry_get_another_owner_and_a_higher_token() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "north", 250)];
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    let (id, owned) = control.node.state().targets().first_key_value().unwrap();
    let (id, token, first) = (id.clone(), owned.token, owned.owner.entry.clone());
    let other: Vec<EntryInfo> = entries.into_iter().filter(|entry| entry.id != first).collect();
    control.run_with_entries(2_000, &other);
    let owned = &control.node.state().targets()[&id];
    assert_ne!(owned.owner.entry, first);
    assert!(owned.token > token);
}

#[test]
fn an_entry_that_a_sibling_reaches_keeps_its_targets() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "north", 250)];
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    let owner = control.owners().into_values().next().unwrap();
    let other = entries.iter().find(|entry| entry.id.as_str() != owner).unwrap();
    for _ in 0..20 {
        let mut request = request(other);
        request.heard.push((owner.parse().unwrap(), Incarnation(1)));
        control.node.sync(control.now, &request);
        control.run(200);
    }
    assert_eq!(control.owners().into_values().next(), Some(owner));
}

#[test]
fn a_partitioned_data_centre_keeps_its_targets() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "south", 250)];
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    control.run_with_entries(6_000, &entries[1..]);
    assert_eq!(control.owned_count(&entries[0]), 1);
}

#[test]
fn a_reporting_target_moves_if_its_data_centre_has_no_entry() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "south", 250)];
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    control.run_with_entries(2_000, &entries[1..]);
    control.report(target(1, "north"), false);
    control.run_with_entries(1_000, &entries[1..]);
    assert_eq!(control.owned_count(&entries[1]), 1);
    // The target returns to its own data centre as soon as no task runs there.
    let views = control.run_with_entries(2_000, &entries);
    assert!(views["b"].owned[0].must_release);
}

/// Entries of a recovering data centre reconnect one after the other. An entry that has not reconnected yet
/// must not lose its targets to one that has.
#[test]
fn entries_of_a_recovering_data_centre_keep_their_targets() {
    let mut control = Control::leading();
    let entries = [
        entry("a", "north", 10),
        entry("b", "north", 10),
        entry("c", "south", 250),
    ];
    for number in 0..2 {
        control.report(target(number, "north"), false);
    }
    control.run_with_entries(3_000, &entries);
    let before = control.owners();
    control.run_with_entries(5_000, &entries[2..]);
    control.run_with_entries(600, &entries[1..]);
    control.run_with_entries(2_000, &entries);
    assert_eq!(control.owners(), before);
}

/// A view with only the requesting entry, sent by a new leader before the other entries had reported, made
/// the entry drop its siblings.
#[test]
fn the_first_view_of_a_new_leader_contains_all_entries() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "north", 250)];
    assert_eq!(control.sync(&entries[0]), None);
    let views = control.run_with_entries(3_000, &entries);
    assert!(
        views
            .values()
            .all(|view| view.entries.as_ref().map(Vec::len) == Some(2))
    );
}

#[test]
fn outdated_reports_and_reports_of_earlier_lives_are_ignored() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250)];
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    let restarted = TargetRecord {
        life: Incarnation(2),
        address: "127.0.0.1:9001".parse().unwrap(),
        ..target(1, "north")
    };
    control.report(restarted.clone(), false);
    control.report(target(1, "north"), true);
    let views = control.run_with_entries(2_000, &entries);
    let owned = &views["a"].owned[0];
    assert_eq!(owned.record, restarted);
    assert!(!owned.is_leaving);
}

#[test]
fn a_target_that_has_ended_is_removed() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250)];
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    let id = target(1, "north").id;
    assert!(control.submit_report(TargetReport::Gone { id, life: None }));
    control.run_with_entries(1_000, &entries);
    assert_eq!(control.owners(), BTreeMap::new());
}

#[test]
fn a_target_of_an_unknown_service_gets_no_owner() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250)];
    let unserved = TargetRecord {
        service: "unknown".parse().unwrap(),
        ..target(1, "north")
    };
    control.report(unserved, false);
    control.run_with_entries(3_000, &entries);
    assert_eq!(control.owners(), BTreeMap::new());
}

/// A change of the capacity issued a new token, under which the owner stopped all runs of the target.
#[test]
fn a_target_whose_capacity_changes_keeps_its_token_and_all_later_owners_know_it() {
    let mut control = Control::leading();
    let entries = [entry("a-1", "a", 250), entry("a-2", "a", 250)];
    control.run_with_entries(2_000, &entries);
    let capacity = Resources {
        cpu_milli: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
    };
    let full = TargetRecord {
        capacity,
        ..target(1, "a")
    };
    control.report(full.clone(), false);
    control.run_with_entries(1_000, &entries);
    let before = control.node.state().targets()[&full.id].clone();
    let shrunk = TargetRecord {
        capacity: Resources {
            cpu_milli: 8_000,
            ..capacity
        },
        ..full.clone()
    };
    control.report(shrunk.clone(), false);
    let views = control.run_with_entries(1_000, &entries);
    let after = control.node.state().targets()[&full.id].clone();
    assert_eq!((after.token, &after.owner), (before.token, &before.owner));
    assert_eq!(after.record, shrunk);
    let granted = &views[after.owner.entry.as_str()].owned;
    assert_eq!(granted[0].record.capacity, shrunk.capacity);
    let survivor = entries
        .iter()
        .find(|entry| entry.id != after.owner.entry)
        .unwrap();
    let views = control.run_with_entries(3_000, std::slice::from_ref(survivor));
    let granted = &views[survivor.id.as_str()].owned;
    assert_eq!(granted[0].record.capacity, shrunk.capacity);
    assert!(granted[0].token > before.token);
}
