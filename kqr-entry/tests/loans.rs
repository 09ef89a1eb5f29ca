//! Tasks for which their home has no free slot borrow slots that are leased to a sibling.

mod support;

use std::time::Duration;

use kqr_jobs::JobState;
use support::{System, key_homed_at, processes::Cluster};

/// Slots of the data centre. Without demand, half of them are leased to each of the two entries.
const SLOTS: u64 = 80;
/// Tasks of the job: more than the slots of one entry, but fewer than all slots.
const TASKS: usize = 60;

#[tokio::test(flavor = "multi_thread")]
async fn job_borrows_slots_of_a_sibling_and_returns_them() {
    let mut system = System::start(&["a", "a"]).await;
    let slots = SLOTS.to_string();
    let more = ["--slots", slots.as_str(), "--connections", "200"];
    system.add_standin(0, "worker", &more).await;
    while system.metric(1, "kqr_shared_slots").await < SLOTS / 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    let key = key_homed_at(0, 2, "job");
    let run_ms = [1000; TASKS];
    let max_lent = async {
        let mut lent = 0;
        for _ in 0..100 {
            lent = lent.max(system.metric(1, "kqr_used_slots").await);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        lent
    };
    let (reply, lent) = tokio::join!(system.submit(0, &key, &run_ms), max_lent);
    assert_eq!(reply.answer().state, JobState::Complete);
    assert!(lent > 0, "no slot of the sibling was used");
    assert_eq!(system.starts(), (TASKS, 0));
    for _ in 0..100 {
        if system.metric(1, "kqr_used_slots").await == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the lent slots were not returned to the sibling");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_sibling_with_lent_slots_leaves_no_task_unfinished() {
    let mut cluster = Cluster::start("loans", &["a", "a", "b"], (SLOTS / 8) as usize).await;
    let key = key_homed_at(0, 2, "a/job");
    while cluster.metric(1, "kqr_shared_slots").await < SLOTS / 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    let call = cluster.submit_in_background(&key, &[3000; TASKS]);
    let mut lent = 0;
    for _ in 0..100 {
        lent = cluster.metric(1, "kqr_used_slots").await;
        if lent > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(lent > 0, "no slot of the sibling was used");
    cluster.kill(1);
    let answer = call.await.unwrap().expect("the job must be answered");
    assert_eq!(answer.state, JobState::Complete, "{answer:?}");
    assert_eq!(answer.tasks.len(), TASKS);
    assert!(answer.tasks.iter().all(|task| task.result.is_some()));
    assert_eq!(cluster.starts(), (TASKS, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_sibling_that_is_asked_for_slots_leaves_no_task_unfinished() {
    let mut cluster = Cluster::start("frozen_loans", &["a", "a", "b"], (SLOTS / 8) as usize).await;
    let key = key_homed_at(0, 2, "a/job");
    while cluster.metric(1, "kqr_shared_slots").await < SLOTS / 2 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    cluster.freeze(1, true);
    let call = cluster.submit_in_background(&key, &[1000; TASKS]);
    let answer = call.await.unwrap().expect("the job must be answered");
    cluster.freeze(1, false);
    assert_eq!(answer.state, JobState::Complete, "{answer:?}");
    cluster.wait_until_ready(1).await;
    assert_eq!(cluster.starts(), (TASKS, 0));
}
