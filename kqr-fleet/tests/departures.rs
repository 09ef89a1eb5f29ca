//! Targets that report that they leave, while leaders and owners change.

mod control;

use control::{Control, entry, target};
use kqr_fleet::{CallId, EntryInfo, FleetInput, FleetOutput, FleetState, TargetRecord, TargetReport};
use kqr_types::Incarnation;

fn report(record: TargetRecord, sequence: u64, is_leaving: bool) -> TargetReport {
    TargetReport::Present {
        record,
        sequence,
        is_leaving,
    }
}

/// A leader with two entries, one of which owns the target. Returns the owner first.
fn owned_target() -> (Control, [EntryInfo; 2]) {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "north", 250)];
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    let [first, second] = entries;
    let entries = if control.owned_count(&first) == 1 {
        [first, second]
    } else {
        [second, first]
    };
    assert_eq!(control.owned_count(&entries[0]), 1);
    (control, entries)
}

/// Returns whether the view of the owner says that its target leaves.
fn is_leaving_at_owner(control: &mut Control, owner: &EntryInfo) -> bool {
    let views = control.run_with_entries(2_000, std::slice::from_ref(owner));
    views[owner.id.as_str()].owned[0].is_leaving
}

/// The next leader handed the target to another entry as one that stays, since the former leader alone had known.
#[test]
fn the_owners_after_a_change_of_the_leader_know_which_targets_leave() {
    let (mut control, [owner, other]) = owned_target();
    control.report(target(1, "north"), true);
    control.run_with_entries(600, &[owner.clone(), other.clone()]);
    control.change_leader();
    assert!(is_leaving_at_owner(&mut control, &owner), "the same owner");
    // The owner is lost, and nobody repeats the report.
    control.run_with_entries(3_000, std::slice::from_ref(&other));
    assert_eq!(control.owned_count(&other), 1);
    assert!(is_leaving_at_owner(&mut control, &other), "the next owner");
}

/// An acknowledged departure is a promise that must outlive the instance that gave it.
#[test]
fn a_departure_is_acknowledged_after_it_is_synced() {
    let (mut control, _) = owned_target();
    let leaving = Box::new(report(target(1, "north"), 9, true));
    let call = CallId(7);
    let outputs = control.input(FleetInput::Report {
        call,
        report: leaving.clone(),
    });
    let is_synced = |output: &FleetOutput| matches!(output, FleetOutput::Persist(_));
    let is_answered = |output: &FleetOutput| matches!(output, FleetOutput::Reported { .. });
    let synced_at = outputs.iter().position(is_synced);
    let answered_at = outputs.iter().position(is_answered);
    assert!(synced_at.is_some() && synced_at < answered_at, "{outputs:?}");
    let outputs = control.input(FleetInput::Report {
        call,
        report: leaving,
    });
    assert!(!outputs.iter().any(is_synced), "it is recorded once: {outputs:?}");
    assert!(outputs.iter().any(is_answered));
}

#[test]
fn a_report_that_overtook_the_departure_does_not_undo_it_at_the_next_leader() {
    let (mut control, [owner, _]) = owned_target();
    control.report(target(1, "north"), true);
    control.change_leader();
    assert!(control.submit_report(report(target(1, "north"), 1, false)));
    assert!(is_leaving_at_owner(&mut control, &owner));
}

#[test]
fn a_target_that_restarts_after_its_departure_stays() {
    let (mut control, [owner, _]) = owned_target();
    control.report(target(1, "north"), true);
    let restarted = TargetRecord {
        life: Incarnation(2),
        ..target(1, "north")
    };
    control.report(restarted.clone(), false);
    assert!(!is_leaving_at_owner(&mut control, &owner));
    // A late report of the former life changes nothing.
    control.report(target(1, "north"), true);
    assert!(!is_leaving_at_owner(&mut control, &owner));
    control.change_leader();
    assert!(!is_leaving_at_owner(&mut control, &owner));
}

#[test]
fn a_leaving_target_without_an_owner_gets_none_from_the_next_leader() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250)];
    control.report(target(1, "north"), true);
    control.change_leader();
    // Longer than the first view takes, shorter than a silence after which targets are forgotten.
    control.run_with_entries(3_000, &entries);
    assert!(control.submit_report(report(target(1, "north"), 1, false)));
    control.run_with_entries(3_000, &entries);
    assert_eq!(control.owned_count(&entries[0]), 0);
}

/// The log would keep each target that ever left.
#[test]
fn a_departure_is_forgotten_when_the_target_has_ended() {
    let (mut control, entries) = owned_target();
    let unowned = target(2, "north");
    control.report(target(1, "north"), true);
    control.report(unowned.clone(), true);
    assert_eq!(control.node.state().leaving().len(), 2);
    let id = target(1, "north").id;
    assert!(control.submit_report(TargetReport::Gone { id, life: None }));
    control.run_with_entries(1_000, &entries);
    assert!(
        control.node.state().leaving().contains_key(&unowned.id),
        "it still reports"
    );
    assert_eq!(control.node.state().leaving().len(), 1);
    control.run_with_entries(8_000, &entries);
    assert!(control.node.state().leaving().is_empty());
}

#[test]
fn a_snapshot_of_a_version_without_departures_is_restored() {
    let (control, _) = owned_target();
    let snapshot = control.node.state().snapshot().unwrap();
    let mut fields: serde_json::Value = serde_json::from_slice(&snapshot).unwrap();
    fields.as_object_mut().unwrap().remove("leaving").unwrap();
    let earlier = serde_json::to_vec(&fields).unwrap();
    assert_eq!(FleetState::restore(&earlier).unwrap(), *control.node.state());
}
