//! Failure scenarios for the invariant that no task of a submission starts twice, each over several seeds.

mod cell;

use cell::{Cell, CrashPoint};
use kqr_jobs::{CallerId, JobAnswer, JobState, NotAccepted, Outcome, RefusalReason};
use kqr_types::JobKey;

/// Number of seeds that each failure scenario runs with.
const SEEDS_PER_FAILURE: u64 = 20;
/// Virtual time within which a cell completes a takeover and answers, in microseconds.
const SETTLE_TIME_US: u64 = 2_000_000;

fn key() -> JobKey {
    "chest-17".parse().unwrap()
}

/// Runs `body` for each seed in a cell of `nodes` members, and then checks all answers.
fn for_each_seed<Body>(nodes: usize, body: Body)
where
    Body: Fn(&mut Cell),
{
    for seed in 0..SEEDS_PER_FAILURE {
        let mut cell = Cell::new(seed, nodes, 3);
        body(&mut cell);
        cell.check();
    }
}

/// Returns the index of the home of `key` in the current view.
fn home_of(cell: &Cell, key: &JobKey) -> usize {
    let is_present = |node: &&cell::Node| node.machine.is_some() && node.epoch() == cell.view.epoch;
    let home = cell.nodes.iter().find(is_present).and_then(|node| node.home(key));
    cell.nodes
        .iter()
        .position(|node| Some(&node.id) == home.as_ref())
        .unwrap()
}

fn answer(cell: &Cell, caller: CallerId) -> Result<JobAnswer, NotAccepted> {
    let reply = cell.replies.get(&caller).cloned();
    reply.unwrap_or_else(|| panic!("seed {}: no answer", cell.seed))
}

fn assert_complete(cell: &Cell, caller: CallerId) {
    let answer = answer(cell, caller);
    let state = answer.as_ref().map(|answer| answer.state);
    assert_eq!(
        state.ok(),
        Some(JobState::Complete),
        "seed {}: {answer:?}",
        cell.seed
    );
}

/// Crashes the home at `point` and asserts that a resubmission to another entry gets the complete answer.
fn assert_answer_after_home_crash(point: CrashPoint) {
    for_each_seed(3, |cell| {
        let home = home_of(cell, &key());
        let other = (home + 1) % 3;
        cell.crash_point = Some(point);
        cell.submit(other, &key(), Some(1), 5);
        cell.run(SETTLE_TIME_US);
        assert_eq!(
            cell.crash_point, None,
            "seed {}: {point:?} was not reached",
            cell.seed
        );
        let again = cell.submit(other, &key(), Some(2), 5);
        cell.run(SETTLE_TIME_US);
        assert_complete(cell, again);
    });
}

#[test]
fn home_crashes_after_claim() {
    assert_answer_after_home_crash(CrashPoint::Claimed);
}

#[test]
fn home_crashes_after_sending_intents() {
    assert_answer_after_home_crash(CrashPoint::IntentSent);
}

#[test]
fn home_crashes_after_intents_are_acknowledged() {
    assert_answer_after_home_crash(CrashPoint::IntentAcknowledged);
}

#[test]
fn home_crashes_after_task_start() {
    assert_answer_after_home_crash(CrashPoint::Started);
}

#[test]
fn home_crashes_after_task_end() {
    assert_answer_after_home_crash(CrashPoint::Ended);
}

#[test]
fn home_crashes_after_answer() {
    assert_answer_after_home_crash(CrashPoint::Answered);
}

#[test]
fn follower_crashes_after_restarted_home_has_synced() {
    for_each_seed(2, |cell| {
        let home = home_of(cell, &key());
        let first = cell.submit(1 - home, &key(), Some(1), 5);
        cell.run(500_000);
        assert_complete(cell, first);
        cell.crash(home);
        cell.run(300_000);
        cell.restart(home);
        let is_repaired = |cell: &Cell| {
            let member = cell.view.member(&cell.nodes[home].id);
            let machine = cell.nodes[home].machine.as_ref();
            let is_full = member.is_some_and(|member| member.state == kqr_types::MemberState::Full);
            is_full && machine.is_some_and(|machine| machine.view() == &cell.view && machine.is_active())
        };
        while !is_repaired(cell) {
            cell.run(1_000);
            assert!(
                cell.now < 60_000_000,
                "seed {}: the restarted home did not sync",
                cell.seed
            );
        }
        cell.crash(1 - home);
        cell.run(SETTLE_TIME_US);
        let again = cell.submit(home, &key(), Some(2), 5);
        cell.run(SETTLE_TIME_US);
        let repeated = answer(cell, again);
        let is_answered = matches!(&repeated, Ok(answer) if answer.state == JobState::Complete);
        let is_refused_as_run = matches!(&repeated, Err(refused) if refused.outcome == Outcome::Ran);
        assert!(
            is_answered || is_refused_as_run,
            "seed {}: {repeated:?}",
            cell.seed
        );
    });
}

#[test]
fn home_is_isolated_but_running() {
    for_each_seed(3, |cell| {
        let home = home_of(cell, &key());
        let other = (home + 1) % 3;
        cell.crash_point = None;
        cell.submit(other, &key(), Some(1), 5);
        cell.run(cell.seed * 500);
        cell.nodes[home].is_isolated = true;
        cell.submit(home, &"basket-9".parse().unwrap(), Some(1), 2);
        cell.run(SETTLE_TIME_US);
        let late = cell.submit(home, &key(), Some(3), 5);
        let again = cell.submit(other, &key(), Some(2), 5);
        cell.run(SETTLE_TIME_US);
        assert_complete(cell, again);
        if let Err(refused) = answer(cell, late) {
            assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
        }
        cell.nodes[home].is_isolated = false;
        cell.run(SETTLE_TIME_US);
        assert!(
            cell.nodes[home].machine.as_ref().unwrap().is_active(),
            "seed {}",
            cell.seed
        );
    });
}

#[test]
fn key_is_submitted_to_all_entries_at_once() {
    for_each_seed(3, |cell| {
        let callers: Vec<CallerId> = (0..3).map(|entry| cell.submit(entry, &key(), None, 5)).collect();
        cell.run(SETTLE_TIME_US);
        for caller in callers {
            assert_complete(cell, caller);
        }
    });
}

#[test]
fn key_is_resubmitted_after_answer_and_after_retention() {
    for_each_seed(3, |cell| {
        cell.submit(0, &key(), None, 5);
        cell.run(500_000);
        let again = cell.submit(1, &key(), None, 5);
        cell.run(100_000);
        assert_complete(cell, again);
        cell.run(3 * SETTLE_TIME_US);
        let late = cell.submit(2, &key(), None, 5);
        cell.run(100_000);
        let refused = answer(cell, late).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::Ran, "seed {}", cell.seed);
    });
}

#[test]
fn key_is_resubmitted_after_cancel() {
    for_each_seed(3, |cell| {
        for target in &mut cell.targets {
            target.is_refusing = true;
        }
        cell.submit(0, &key(), None, 5);
        cell.run(5_000);
        let cancelled = cell.cancel(1, &key());
        cell.run(500_000);
        let answer_of_cancel = answer(cell, cancelled);
        for target in &mut cell.targets {
            target.is_refusing = false;
        }
        let again = cell.submit(2, &key(), None, 5);
        cell.run(500_000);
        assert_eq!(answer(cell, again), answer_of_cancel, "seed {}", cell.seed);
    });
}

#[test]
fn key_is_resubmitted_with_different_body() {
    for_each_seed(3, |cell| {
        let first = cell.submit(0, &key(), None, 5);
        cell.run(10_000);
        let other = cell.submit(1, &key(), None, 4);
        cell.run(SETTLE_TIME_US);
        assert_complete(cell, first);
        let refused = answer(cell, other).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::KeyReused, "seed {}", cell.seed);
    });
}

#[test]
fn messages_are_lost_duplicated_or_delayed() {
    for_each_seed(3, |cell| {
        cell.loss_probability = 0.4;
        cell.duplicate_probability = 0.4;
        cell.max_delay_us = 100_000;
        let caller = cell.submit(0, &key(), None, 5);
        cell.run(2 * SETTLE_TIME_US);
        assert_complete(cell, caller);
    });
}

#[test]
fn answers_of_concurrent_jobs_arrive_out_of_order() {
    for_each_seed(3, |cell| {
        cell.max_delay_us = 100_000;
        let submit = |number: usize, cell: &mut Cell| {
            let key = format!("basket-{number}").parse().unwrap();
            cell.submit(number % 3, &key, None, 3)
        };
        let callers: Vec<CallerId> = (0..30).map(|number| submit(number, cell)).collect();
        cell.run(SETTLE_TIME_US);
        for caller in callers {
            assert_complete(cell, caller);
        }
    });
}

#[test]
fn target_crashes_or_restarts_while_running_task() {
    for_each_seed(3, |cell| {
        for target in &mut cell.targets {
            target.run_time_us = 400_000;
        }
        let caller = cell.submit(0, &key(), None, 5);
        cell.run(100_000);
        cell.targets[0].is_alive = false;
        cell.targets[1].restart();
        cell.run(SETTLE_TIME_US);
        let answer = answer(cell, caller).unwrap();
        let is_lost = answer
            .tasks
            .iter()
            .any(|task| task.outcome == Outcome::MayHaveRun);
        assert_eq!(is_lost, answer.state == JobState::Failed, "seed {}", cell.seed);
    });
}

#[test]
fn home_crashes_while_tasks_run_long() {
    for_each_seed(3, |cell| {
        for target in &mut cell.targets {
            target.run_time_us = 5_000_000;
        }
        let home = home_of(cell, &key());
        cell.submit(home, &key(), Some(1), 5);
        cell.run(500_000);
        cell.crash(home);
        let other = (home + 1) % 3;
        cell.run(1_000_000);
        let again = cell.submit(other, &key(), Some(2), 5);
        cell.run(2 * SETTLE_TIME_US);
        assert_complete(cell, again);
    });
}

#[test]
fn task_refused_by_target_runs_on_another() {
    for_each_seed(3, |cell| {
        cell.targets[0].is_refusing = true;
        let caller = cell.submit(0, &key(), None, 5);
        cell.run(SETTLE_TIME_US);
        assert_complete(cell, caller);
    });
}

#[test]
fn whole_cell_loses_its_records() {
    for_each_seed(3, |cell| {
        cell.submit(0, &key(), Some(1), 5);
        cell.run(500_000);
        for index in 0..3 {
            cell.crash(index);
        }
        cell.run(500_000);
        for index in 0..3 {
            cell.restart(index);
        }
        cell.run(SETTLE_TIME_US);
        let again = cell.submit(1, &key(), Some(2), 5);
        let fresh = cell.submit(1, &"basket-1".parse().unwrap(), Some(1), 5);
        cell.run(SETTLE_TIME_US);
        let refused = answer(cell, again).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
        assert_complete(cell, fresh);
    });
}

#[test]
fn unmarked_key_is_refused_within_cold_start_window() {
    for_each_seed(2, |cell| {
        for index in 0..2 {
            cell.crash(index);
        }
        cell.run(500_000);
        for index in 0..2 {
            cell.restart(index);
        }
        cell.run(200_000);
        let caller = cell.submit(0, &key(), None, 5);
        cell.run(100_000);
        let refused = answer(cell, caller).unwrap_err();
        assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
    });
}

#[test]
fn renounced_key_is_refused_after_home_crash() {
    for_each_seed(3, |cell| {
        let promise = cell.renounce(0, &key());
        cell.run(100_000);
        let promised = answer(cell, promise).unwrap_err();
        assert_eq!(promised.outcome, Outcome::NotRun, "seed {}", cell.seed);
        let home = home_of(cell, &key());
        cell.crash(home);
        cell.run(SETTLE_TIME_US);
        let late = cell.submit((home + 1) % 3, &key(), Some(1), 5);
        cell.run(SETTLE_TIME_US);
        let refused = answer(cell, late).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
    });
}

#[test]
fn key_is_not_renounced_while_history_is_too_short() {
    for_each_seed(2, |cell| {
        for index in 0..2 {
            cell.crash(index);
        }
        cell.run(500_000);
        for index in 0..2 {
            cell.restart(index);
        }
        cell.run(SETTLE_TIME_US);
        let renounce_caller = cell.renounce(0, &key());
        cell.run(100_000);
        let refused = answer(cell, renounce_caller).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
    });
}

#[test]
fn running_key_is_not_renounced() {
    for_each_seed(3, |cell| {
        let caller = cell.submit(0, &key(), Some(1), 5);
        cell.run(cell.seed * 2_000);
        let renounce_caller = cell.renounce(1, &key());
        cell.run(SETTLE_TIME_US);
        let is_renounced =
            matches!(answer(cell, renounce_caller), Err(refused) if refused.outcome == Outcome::NotRun);
        let is_run = matches!(answer(cell, caller), Ok(answer) if answer.state == JobState::Complete);
        assert!(is_run != is_renounced, "seed {}", cell.seed);
    });
}
