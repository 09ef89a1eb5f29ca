//! Evacuations of data centres, while leaders and owners change.

mod control;

use control::{Control, entry, request, target};
use kqr_fleet::{
    CallId, Command, EntryInfo, Evacuation, FleetInput, FleetOptions, FleetOutput, FleetState, SyncReply,
    SyncRequest, SyncView, TargetGrant, ViewRevision,
};
use kqr_types::DataCentre;

fn north() -> DataCentre {
    "north".parse().unwrap()
}

fn change(control: &mut Control, evacuation: Evacuation) -> Vec<FleetOutput> {
    let call = CallId(7);
    control.input(FleetInput::Evacuate { call, evacuation })
}

/// Makes a change, which must be acknowledged.
fn confirm(control: &mut Control, evacuation: Evacuation) {
    let outputs = change(control, evacuation);
    assert!(outputs.iter().any(is_recorded), "{outputs:?}");
}

fn is_recorded(output: &FleetOutput) -> bool {
    matches!(output, FleetOutput::EvacuationRecorded { call: CallId(7) })
}

fn is_synced(output: &FleetOutput) -> bool {
    matches!(output, FleetOutput::Persist(_))
}

/// A leader with an entry and a target in each of two data centres.
fn two_data_centres() -> (Control, [EntryInfo; 2]) {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250), entry("b", "south", 250)];
    control.report(target(1, "north"), false);
    control.report(target(1, "south"), false);
    control.run_with_entries(3_000, &entries);
    assert_eq!(control.owned_count(&entries[0]), 1);
    assert_eq!(control.owned_count(&entries[1]), 1);
    (control, entries)
}

/// Returns the only target of an entry that has no view yet, as after its restart.
fn grant(control: &mut Control, entry: &EntryInfo) -> TargetGrant {
    let view = control.sync(entry).unwrap();
    assert_eq!(view.owned.len(), 1, "{view:?}");
    view.owned[0].clone()
}

/// Returns the view that control sends to an entry which has the view `known`.
fn sync_after(control: &mut Control, entry: &EntryInfo, known: ViewRevision) -> Option<SyncView> {
    let request = SyncRequest {
        view: known,
        ..request(entry)
    };
    match control.node.sync(control.now, &request) {
        SyncReply::Current { view, .. } => view,
        SyncReply::NotLeader { .. } => None,
    }
}

/// Guards against grants that lack the flag, carry it in another data centre, or keep it after the withdrawal.
#[test]
fn the_grants_of_an_evacuated_data_centre_say_so_until_the_withdrawal() {
    let (mut control, [a, b]) = two_data_centres();
    assert!(!grant(&mut control, &a).is_evacuated);
    confirm(&mut control, Evacuation::Begin(north()));
    let evacuated = grant(&mut control, &a);
    assert!(evacuated.is_evacuated);
    assert!(!evacuated.is_leaving && !evacuated.must_release, "{evacuated:?}");
    assert!(!grant(&mut control, &b).is_evacuated, "the other data centre");
    control.run_with_entries(3_000, &[a.clone(), b]);
    assert_eq!(control.owned_count(&a), 1, "the owner keeps the target");
    confirm(&mut control, Evacuation::Finish(north()));
    assert!(!grant(&mut control, &a).is_evacuated);
}

/// An entry that has the current view gets no other one before the revision changes, and would go on starting tasks.
#[test]
fn entries_learn_of_a_change_with_their_next_request() {
    let (mut control, [a, _]) = two_data_centres();
    let mut known = control.sync(&a).unwrap().revision;
    assert_eq!(sync_after(&mut control, &a, known), None, "the view is current");
    for (evacuation, is_evacuated) in [
        (Evacuation::Begin(north()), true),
        (Evacuation::Finish(north()), false),
    ] {
        confirm(&mut control, evacuation);
        let view = sync_after(&mut control, &a, known).unwrap();
        assert_eq!(view.owned[0].is_evacuated, is_evacuated);
        known = view.revision;
        assert_eq!(sync_after(&mut control, &a, known), None);
    }
}

/// An acknowledged change is a promise that must outlive the instance that gave it.
#[test]
fn a_change_is_acknowledged_after_it_is_synced() {
    let (mut control, [a, _]) = two_data_centres();
    let outputs = change(&mut control, Evacuation::Begin(north()));
    let synced_at = outputs.iter().position(is_synced);
    let recorded_at = outputs.iter().position(is_recorded);
    assert!(synced_at.is_some() && synced_at < recorded_at, "{outputs:?}");
    control.change_leader();
    control.run_with_entries(2_000, std::slice::from_ref(&a));
    assert!(
        grant(&mut control, &a).is_evacuated,
        "after the loss of the leader"
    );
    confirm(&mut control, Evacuation::Finish(north()));
    control.change_leader();
    control.run_with_entries(2_000, std::slice::from_ref(&a));
    assert!(!grant(&mut control, &a).is_evacuated, "the withdrawal as well");
}

/// The operator repeats a call of which it got no answer.
#[test]
fn repeated_calls_are_acknowledged_and_change_nothing() {
    let mut control = Control::leading();
    confirm(&mut control, Evacuation::Finish(north()));
    assert!(control.node.state().evacuated().is_empty());
    for _ in 0..2 {
        confirm(&mut control, Evacuation::Begin(north()));
        assert!(control.node.state().evacuated().iter().eq([&north()]));
    }
    for _ in 0..2 {
        confirm(&mut control, Evacuation::Finish(north()));
        assert!(control.node.state().evacuated().is_empty());
    }
}

/// An acknowledgement from what this instance has applied would be false if a withdrawal is committed elsewhere.
#[test]
fn an_instance_that_does_not_lead_acknowledges_nothing() {
    let (mut control, _) = two_data_centres();
    // The log is compacted, so that the restarted instance knows of the evacuation from its snapshot.
    for _ in 0..FleetOptions::default().compact_after_commands {
        confirm(&mut control, Evacuation::Begin(north()));
    }
    control.lose_leadership();
    assert!(control.node.state().evacuated().contains(&north()));
    let outputs = change(&mut control, Evacuation::Begin(north()));
    assert!(!outputs.iter().any(is_recorded), "{outputs:?}");
    let is_failed = |output: &FleetOutput| matches!(output, FleetOutput::CallFailed { call: CallId(7), .. });
    assert!(outputs.iter().any(is_failed), "{outputs:?}");
}

/// Targets that announce themselves after the acknowledgement were not known when it was given.
#[test]
fn a_target_that_arrives_during_the_evacuation_is_granted_as_evacuated() {
    let mut control = Control::leading();
    let entries = [entry("a", "north", 250)];
    confirm(&mut control, Evacuation::Begin(north()));
    control.report(target(1, "north"), false);
    control.run_with_entries(3_000, &entries);
    assert!(grant(&mut control, &entries[0]).is_evacuated);
}

/// An owner in another data centre would start tasks on a target that it takes over.
#[test]
fn the_next_owner_of_a_target_knows_of_the_evacuation() {
    let (mut control, [_, b]) = two_data_centres();
    confirm(&mut control, Evacuation::Begin(north()));
    // The entry of the data centre is lost, and its target reports to control.
    control.run_with_entries(2_000, std::slice::from_ref(&b));
    control.report(target(1, "north"), false);
    control.run_with_entries(2_000, std::slice::from_ref(&b));
    assert_eq!(control.owned_count(&b), 2);
    let view = control.sync(&b).unwrap();
    for owned in &view.owned {
        let is_north = owned.record.data_centre == north();
        assert_eq!(owned.is_evacuated, is_north, "{owned:?}");
    }
}

/// A snapshot that drops the evacuation would lose it with the compacted log.
#[test]
fn a_snapshot_holds_the_evacuation() {
    let mut state = FleetState::default();
    state.apply(Command::Evacuate(Evacuation::Begin(north())));
    let restored = FleetState::restore(&state.snapshot().unwrap()).unwrap();
    assert_eq!(restored, state);
    assert!(restored.evacuated().contains(&north()));
}

/// A control instance of this version would not start on the folder of an earlier one.
#[test]
fn a_snapshot_of_a_version_without_evacuations_is_restored() {
    let (control, _) = two_data_centres();
    let snapshot = control.node.state().snapshot().unwrap();
    let mut fields: serde_json::Value = serde_json::from_slice(&snapshot).unwrap();
    fields.as_object_mut().unwrap().remove("evacuated").unwrap();
    let earlier = serde_json::to_vec(&fields).unwrap();
    assert_eq!(FleetState::restore(&earlier).unwrap(), *control.node.state());
}
