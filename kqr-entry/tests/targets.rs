//! Faults of targets: no task starts twice, answers are complete or failed, and no task reported as not-run
//! was started.

mod support;

use std::time::Duration;

use hyper::Method;
use kqr_jobs::{JobState, Outcome};
use kqr_settings::{Tree, Version};
use kqr_standin::Behaviour;
use support::{System, job};

async fn system(workers: usize) -> System {
    let mut system = System::start(&["a"]).await;
    for number in 0..workers {
        system.add_standin(0, &format!("worker-{number}"), &[]).await;
    }
    system
}

#[tokio::test(flavor = "multi_thread")]
async fn results_of_lost_responses_are_queried_and_no_task_starts_twice() {
    let system = system(2).await;
    for standin in &system.standins {
        standin.standin.behave(Behaviour {
            loses_every: 2,
            ..Behaviour::default()
        });
    }
    let reply = system.submit(0, "k", &[50; 12]).await;
    let answer = reply.answer();
    assert_eq!(answer.state, JobState::Complete, "{}", reply.text());
    for (index, task) in answer.tasks.iter().enumerate() {
        assert_eq!(task.result, Some(format!("k#{index}:e{index}")));
    }
    assert_eq!(system.starts(), (12, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn job_completes_despite_silent_open_connections() {
    let system = system(1).await;
    assert_eq!(
        system.submit(0, "before", &[10; 8]).await.answer().state,
        JobState::Complete
    );
    system.standins[0].standin.silence_open_connections();
    let reply = system.submit(0, "after", &[10; 8]).await;
    assert_eq!(reply.answer().state, JobState::Complete, "{}", reply.text());
    assert_eq!(system.starts(), (16, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_starts_are_sent_to_another_target() {
    let system = system(2).await;
    system.standins[0].standin.behave(Behaviour {
        refuses: true,
        ..Behaviour::default()
    });
    let reply = system.submit(0, "k", &[10; 10]).await;
    assert_eq!(reply.answer().state, JobState::Complete, "{}", reply.text());
    assert_eq!(system.starts(), (10, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_task_fails_the_job_without_results() {
    let system = system(1).await;
    system.standins[0].standin.behave(Behaviour {
        fails_everything: true,
        ..Behaviour::default()
    });
    let reply = system.submit(0, "k", &[10; 3]).await;
    let answer = reply.answer();
    assert_eq!((answer.state, answer.outcome), (JobState::Failed, Outcome::Ran));
    assert!(
        answer.tasks.iter().all(|task| task.result.is_none()),
        "the answer of a failed job must not hold results"
    );
    let again = system.submit(0, "k", &[10; 3]).await;
    assert_eq!(again.answer(), answer, "a resubmission must get the same answer");
    assert_eq!(system.starts().1, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_submissions_of_a_key_start_once() {
    let system = system(2).await;
    let calls = (0..10).map(|_| system.submit(0, "k", &[100; 5]));
    for reply in futures::future::join_all(calls).await {
        assert_eq!(reply.answer().state, JobState::Complete, "{}", reply.text());
    }
    assert_eq!(system.starts(), (5, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_starts_no_more_tasks() {
    let system = system(1).await;
    let fields = [("idempotency-key", "k")];
    system
        .send(0, Method::POST, "/v1/jobs?wait=false", &fields, &job(&[400; 40]))
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let reply = system.send(0, Method::DELETE, "/v1/jobs/k", &[], "").await;
    let answer = reply.answer();
    assert_eq!(answer.state, JobState::Cancelled, "{}", reply.text());
    let not_run = answer
        .tasks
        .iter()
        .filter(|task| task.outcome == Outcome::NotRun)
        .count();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let (starts, duplicates) = system.starts();
    assert_eq!(
        (starts, duplicates),
        (40 - not_run, 0),
        "a task reported as not-run must not have been started"
    );
    let again = system.submit(0, "k", &[400; 40]).await;
    assert_eq!(
        again.answer().state,
        JobState::Cancelled,
        "the key of a cancelled job must start nothing"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_new_tasks_and_finishes_its_running_ones() {
    let mut system = system(2).await;
    let running = system.submit(0, "running", &[1200; 16]);
    let leave = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        system.standins[0].standin.behave(Behaviour {
            drains: true,
            ..Behaviour::default()
        });
    };
    let (reply, ()) = tokio::join!(running, leave);
    assert_eq!(reply.answer().state, JobState::Complete, "{}", reply.text());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = system.standins[0].standin.starts();
    assert_eq!(
        system.submit(0, "later", &[10; 20]).await.answer().state,
        JobState::Complete
    );
    let after = system.standins[0].standin.starts();
    assert_eq!(
        (after.attempts.len(), after.refused),
        (before.attempts.len(), before.refused)
    );
    let _ = system.standins.pop();
}

/// Shortens the task leases, so that targets stop tasks, and the entry abandons them, after a short time.
fn shorten_leases(system: &System) {
    let mut tree = Tree::default();
    tree.set("deadlines/lease".parse().unwrap(), "100ms".to_owned());
    system.entries[0]
        .as_ref()
        .unwrap()
        .apply_settings(Version(1), &tree);
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_at_a_silent_live_target_end_as_may_have_run_and_start_nowhere_else() {
    let system = system(2).await;
    shorten_leases(&system);
    let silent = Behaviour {
        is_silent: true,
        ..Behaviour::default()
    };
    for standin in &system.standins {
        standin.standin.behave(silent.clone());
    }
    let fields = [("idempotency-key", "k"), ("kqr-deadline-ms", "1000")];
    let reply = system
        .send(0, Method::POST, "/v1/jobs", &fields, &job(&[10; 4]))
        .await;
    let answer = reply.answer();
    assert_eq!(
        (answer.state, answer.outcome),
        (JobState::Failed, Outcome::MayHaveRun),
        "{}",
        reply.text()
    );
    for standin in &system.standins {
        standin.standin.behave(Behaviour::default());
    }
    assert_eq!(system.submit(0, "k", &[10; 4]).await.answer(), answer);
    assert_eq!(
        system.submit(0, "next", &[10; 16]).await.answer().state,
        JobState::Complete,
        "the slots of abandoned tasks must be released"
    );
    assert_eq!(system.starts().1, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn task_that_far_exceeds_its_declared_run_time_is_stopped() {
    let system = system(1).await;
    shorten_leases(&system);
    let body = job(&[60_000]).replace("\"run_time_ms\":60000", "\"run_time_ms\":10");
    let fields = [("idempotency-key", "k"), ("kqr-deadline-ms", "500")];
    let reply = system.send(0, Method::POST, "/v1/jobs", &fields, &body).await;
    let answer = reply.answer();
    assert_eq!(
        (answer.state, answer.outcome),
        (JobState::Failed, Outcome::Ran),
        "{}",
        reply.text()
    );
    assert_eq!(system.starts(), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_waits_and_starts() {
    let system = system(1).await;
    let reply = system.submit(0, "k", &[100; 20]).await;
    assert_eq!(reply.answer().state, JobState::Complete, "{}", reply.text());
    assert_eq!(system.metric(0, "kqr_task_starts_total").await, 20);
    let text = system.send(0, Method::GET, "/metrics", &[], "").await.text();
    let value = |name: &str| -> f64 {
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
            .sum()
    };
    assert!((value("kqr_queue_wait_seconds_count") - 20.0).abs() < 0.5);
    // Of 20 tasks of 100 ms on 8 slots, 12 wait for at least one other task.
    assert!(value("kqr_queue_wait_seconds_sum") > 1.0, "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_target_is_counted_as_suspected_until_it_expires() {
    let mut system = system(2).await;
    assert_eq!(system.metric(0, "kqr_suspect_targets").await, 0);
    system.standins.remove(0).kill();
    for expected in [1, 0] {
        for _ in 0..600 {
            if system.metric(0, "kqr_suspect_targets").await == expected {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(system.metric(0, "kqr_suspect_targets").await, expected);
    }
}
