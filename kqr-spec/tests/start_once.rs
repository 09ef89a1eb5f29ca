//! The hard promise holds in each scenario, and each broken variant of the machines is found out.

use kqr_jobs::Fault;
use kqr_spec::{
    Verdict, search,
    start_once::{
        Scenario, StartOnce,
        scenarios::{
            CANCEL, COLD_START, CUT_OFF, CUT_OFF_THEN_CRASH, LATE, RENOUNCED, REPAIR, REPAIR_AFTER_CRASH,
            TAKEOVER, TAKEOVER_OF_THREE, TARGET_RESTARTS, TWO_TASKS,
        },
    },
};

/// Most states of one search.
const MOST: usize = 400_000;

fn holds(scenario: Scenario) {
    let verdict = search(&StartOnce::new(scenario).unwrap(), MOST);
    println!("{}: {verdict}", scenario.name);
    assert!(
        matches!(verdict, Verdict::Holds { .. }),
        "{}: {verdict}",
        scenario.name
    );
}

fn is_violated(scenario: Scenario) {
    let verdict = search(&StartOnce::new(scenario).unwrap(), MOST);
    println!("{:?} in {}: {verdict}", scenario.fault, scenario.name);
    assert!(
        matches!(verdict, Verdict::Violated { .. }),
        "{}: {verdict}",
        scenario.name
    );
}

fn with(fault: Fault, scenario: Scenario) -> Scenario {
    Scenario {
        fault: Some(fault),
        ..scenario
    }
}

#[test]
fn takeover_after_a_crash() {
    holds(TAKEOVER);
}

#[test]
fn two_crashes_of_three_members() {
    holds(TAKEOVER_OF_THREE);
}

#[test]
fn home_cut_off_but_alive() {
    holds(CUT_OFF);
}

#[test]
fn home_cut_off_then_the_other_crashes() {
    holds(CUT_OFF_THEN_CRASH);
}

#[test]
fn member_joins_and_the_other_crashes() {
    holds(REPAIR);
}

#[test]
fn home_and_follower_crash_right_after_a_repair() {
    holds(REPAIR_AFTER_CRASH);
}

#[test]
fn cancel_and_resubmission() {
    holds(CANCEL);
}

#[test]
fn key_is_left_to_another_data_centre() {
    holds(RENOUNCED);
}

#[test]
fn answers_of_two_tasks_are_whole() {
    holds(TWO_TASKS);
}

#[test]
fn target_restarts() {
    holds(TARGET_RESTARTS);
}

#[test]
fn all_records_are_lost() {
    holds(COLD_START);
}

#[test]
fn only_member_is_cut_off() {
    holds(LATE);
}

#[test]
fn start_before_the_intent_is_acknowledged_is_found() {
    is_violated(with(Fault::StartBeforeAck, TAKEOVER));
}

#[test]
fn missing_lease_check_is_found() {
    is_violated(with(Fault::NoLeaseCheck, LATE));
}

#[test]
fn home_before_the_seals_is_found() {
    is_violated(with(Fault::HomeBeforeSeal, REPAIR));
}

#[test]
fn skipped_copy_is_found() {
    is_violated(with(Fault::ResyncSkipped, REPAIR));
}

#[test]
fn skipped_question_is_found() {
    is_violated(with(Fault::FenceSkipped, TAKEOVER));
}

#[test]
fn target_without_fence_is_found() {
    is_violated(Scenario {
        is_unfenced: true,
        ..TAKEOVER
    });
}

#[test]
fn answer_before_the_acknowledgement_is_found() {
    is_violated(with(Fault::ReplyBeforeAck, CANCEL));
}

#[test]
fn old_records_after_missed_views_are_found() {
    is_violated(with(Fault::GapIgnored, CUT_OFF_THEN_CRASH));
}

#[test]
fn promise_before_the_acknowledgement_is_found() {
    is_violated(with(Fault::ReplyBeforeAck, RENOUNCED));
}

#[test]
fn unnoticed_cold_start_is_found() {
    is_violated(with(Fault::ColdStartIgnored, COLD_START));
}

#[test]
fn answer_with_the_first_task_is_found() {
    is_violated(with(Fault::AnswerWithFirstTask, TWO_TASKS));
}
