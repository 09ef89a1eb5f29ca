//! Each named failure of the promise "no task of a submission starts twice", over several seeds.

mod cell;

use cell::{Cell, Moment};
use kqr_jobs::{CallerId, JobAnswer, JobState, NotAccepted, Outcome, RefusalReason};
use kqr_types::JobKey;

/// Seeds of each failure.
const SEEDS: u64 = 20;
/// Time within which a cell takes over and answers.
const SETTLED: u64 = 2_000_000;

fn key() -> JobKey {
    "chest-17".parse().unwrap()
}

/// Runs `body` for each seed in a cell of `nodes` members, and checks each answer.
fn each_seed<Body>(nodes: usize, body: Body)
where
    Body: Fn(&mut Cell),
{
    for seed in 0..SEEDS {
        let mut cell = Cell::new(seed, nodes, 3);
        body(&mut cell);
        cell.check();
    }
}

/// Returns the home of the key as a member of the present view knows it.
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

/// Crashes the home at `moment`; a resubmission to another entry must get the complete answer.
fn home_dies_at(moment: Moment) {
    each_seed(3, |cell| {
        let home = home_of(cell, &key());
        let other = (home + 1) % 3;
        cell.trap = Some(moment);
        cell.submit(other, &key(), Some(1), 5);
        cell.run(SETTLED);
        assert_eq!(cell.trap, None, "seed {}: {moment:?} was not reached", cell.seed);
        let again = cell.submit(other, &key(), Some(2), 5);
        cell.run(SETTLED);
        assert_complete(cell, again);
    });
}

#[test]
fn home_dies_after_the_claim() {
    home_dies_at(Moment::Claimed);
}

#[test]
fn home_dies_after_it_sent_the_intents() {
    home_dies_at(Moment::IntentSent);
}

#[test]
fn home_dies_after_the_intents_were_acknowledged() {
    home_dies_at(Moment::IntentAcknowledged);
}

#[test]
fn home_dies_after_a_start() {
    home_dies_at(Moment::Started);
}

#[test]
fn home_dies_after_an_end() {
    home_dies_at(Moment::Ended);
}

#[test]
fn home_dies_after_the_answer() {
    home_dies_at(Moment::Answered);
}

#[test]
fn home_dies_and_the_follower_right_after_the_repair() {
    each_seed(2, |cell| {
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
            assert!(cell.now < 60_000_000, "seed {}: not repaired", cell.seed);
        }
        cell.crash(1 - home);
        cell.run(SETTLED);
        let again = cell.submit(home, &key(), Some(2), 5);
        cell.run(SETTLED);
        let kept = answer(cell, again);
        let is_kept = matches!(&kept, Ok(answer) if answer.state == JobState::Complete);
        let is_told = matches!(&kept, Err(refused) if refused.outcome == Outcome::Ran);
        assert!(is_kept || is_told, "seed {}: {kept:?}", cell.seed);
    });
}

#[test]
fn home_is_cut_off_but_alive() {
    each_seed(3, |cell| {
        let home = home_of(cell, &key());
        let other = (home + 1) % 3;
        cell.trap = None;
        cell.submit(other, &key(), Some(1), 5);
        cell.run(cell.seed * 500);
        cell.nodes[home].is_cut_off = true;
        cell.submit(home, &"basket-9".parse().unwrap(), Some(1), 2);
        cell.run(SETTLED);
        let late = cell.submit(home, &key(), Some(3), 5);
        let again = cell.submit(other, &key(), Some(2), 5);
        cell.run(SETTLED);
        assert_complete(cell, again);
        if let Err(refused) = answer(cell, late) {
            assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
        }
        cell.nodes[home].is_cut_off = false;
        cell.run(SETTLED);
        assert!(
            cell.nodes[home].machine.as_ref().unwrap().is_active(),
            "seed {}",
            cell.seed
        );
    });
}

#[test]
fn key_is_sent_to_all_entries_at_once() {
    each_seed(3, |cell| {
        let callers: Vec<CallerId> = (0..3).map(|entry| cell.submit(entry, &key(), None, 5)).collect();
        cell.run(SETTLED);
        for caller in callers {
            assert_complete(cell, caller);
        }
    });
}

#[test]
fn key_is_sent_again_after_the_answer_and_after_it_was_forgotten() {
    each_seed(3, |cell| {
        cell.submit(0, &key(), None, 5);
        cell.run(500_000);
        let again = cell.submit(1, &key(), None, 5);
        cell.run(100_000);
        assert_complete(cell, again);
        cell.run(3 * SETTLED);
        let late = cell.submit(2, &key(), None, 5);
        cell.run(100_000);
        let refused = answer(cell, late).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::Ran, "seed {}", cell.seed);
    });
}

#[test]
fn key_is_sent_again_after_a_cancel() {
    each_seed(3, |cell| {
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
fn key_is_sent_again_with_another_body() {
    each_seed(3, |cell| {
        let first = cell.submit(0, &key(), None, 5);
        cell.run(10_000);
        let other = cell.submit(1, &key(), None, 4);
        cell.run(SETTLED);
        assert_complete(cell, first);
        let refused = answer(cell, other).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::KeyReused, "seed {}", cell.seed);
    });
}

#[test]
fn answers_of_targets_are_lost_or_late() {
    each_seed(3, |cell| {
        cell.loss = 0.4;
        cell.duplicates = 0.4;
        cell.most_delay = 100_000;
        let caller = cell.submit(0, &key(), None, 5);
        cell.run(2 * SETTLED);
        assert_complete(cell, caller);
    });
}

#[test]
fn answers_of_many_jobs_cross_each_other() {
    each_seed(3, |cell| {
        cell.most_delay = 100_000;
        let submit = |number: usize, cell: &mut Cell| {
            let key = format!("basket-{number}").parse().unwrap();
            cell.submit(number % 3, &key, None, 3)
        };
        let callers: Vec<CallerId> = (0..30).map(|number| submit(number, cell)).collect();
        cell.run(SETTLED);
        for caller in callers {
            assert_complete(cell, caller);
        }
    });
}

#[test]
fn target_dies_or_restarts_while_it_runs_a_task() {
    each_seed(3, |cell| {
        for target in &mut cell.targets {
            target.run_time = 400_000;
        }
        let caller = cell.submit(0, &key(), None, 5);
        cell.run(100_000);
        cell.targets[0].is_alive = false;
        cell.targets[1].restart();
        cell.run(SETTLED);
        let answer = answer(cell, caller).unwrap();
        let is_lost = answer
            .tasks
            .iter()
            .any(|task| task.outcome == Outcome::MayHaveRun);
        assert_eq!(is_lost, answer.state == JobState::Failed, "seed {}", cell.seed);
    });
}

#[test]
fn target_hangs_and_its_home_dies() {
    each_seed(3, |cell| {
        for target in &mut cell.targets {
            target.run_time = 5_000_000;
        }
        let home = home_of(cell, &key());
        cell.submit(home, &key(), Some(1), 5);
        cell.run(500_000);
        cell.crash(home);
        let other = (home + 1) % 3;
        cell.run(1_000_000);
        let again = cell.submit(other, &key(), Some(2), 5);
        cell.run(2 * SETTLED);
        assert_complete(cell, again);
    });
}

#[test]
fn target_refuses_and_another_one_runs_the_task() {
    each_seed(3, |cell| {
        cell.targets[0].is_refusing = true;
        let caller = cell.submit(0, &key(), None, 5);
        cell.run(SETTLED);
        assert_complete(cell, caller);
    });
}

#[test]
fn whole_cell_loses_its_memory() {
    each_seed(3, |cell| {
        cell.submit(0, &key(), Some(1), 5);
        cell.run(500_000);
        for index in 0..3 {
            cell.crash(index);
        }
        cell.run(500_000);
        for index in 0..3 {
            cell.restart(index);
        }
        cell.run(SETTLED);
        let again = cell.submit(1, &key(), Some(2), 5);
        let fresh = cell.submit(1, &"basket-1".parse().unwrap(), Some(1), 5);
        cell.run(SETTLED);
        let refused = answer(cell, again).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
        assert_complete(cell, fresh);
    });
}

#[test]
fn unmarked_key_is_refused_right_after_the_whole_cell_lost_its_memory() {
    each_seed(2, |cell| {
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
fn key_is_sent_to_another_data_centre_that_asked_for_it() {
    each_seed(3, |cell| {
        let promise = cell.renounce(0, &key());
        cell.run(100_000);
        let promised = answer(cell, promise).unwrap_err();
        assert_eq!(promised.outcome, Outcome::NotRun, "seed {}", cell.seed);
        let home = home_of(cell, &key());
        cell.crash(home);
        cell.run(SETTLED);
        let late = cell.submit((home + 1) % 3, &key(), Some(1), 5);
        cell.run(SETTLED);
        let refused = answer(cell, late).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
    });
}

#[test]
fn key_is_not_left_to_another_data_centre_while_the_records_are_too_young() {
    each_seed(2, |cell| {
        for index in 0..2 {
            cell.crash(index);
        }
        cell.run(500_000);
        for index in 0..2 {
            cell.restart(index);
        }
        cell.run(SETTLED);
        let asked = cell.renounce(0, &key());
        cell.run(100_000);
        let refused = answer(cell, asked).unwrap_err();
        assert_eq!(refused.reason, RefusalReason::HistoryLost, "seed {}", cell.seed);
        assert_eq!(refused.outcome, Outcome::MayHaveRun, "seed {}", cell.seed);
    });
}

#[test]
fn key_that_runs_here_is_not_left_to_another_data_centre() {
    each_seed(3, |cell| {
        let caller = cell.submit(0, &key(), Some(1), 5);
        cell.run(cell.seed * 2_000);
        let asked = cell.renounce(1, &key());
        cell.run(SETTLED);
        let is_renounced = matches!(answer(cell, asked), Err(refused) if refused.outcome == Outcome::NotRun);
        let is_run = matches!(answer(cell, caller), Ok(answer) if answer.state == JobState::Complete);
        assert!(is_run != is_renounced, "seed {}", cell.seed);
    });
}
