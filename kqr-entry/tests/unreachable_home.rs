//! Keys whose home data centre is unreachable are refused as may-have-run; keys with another home are served.

mod support;

use std::time::Duration;

use hyper::Method;
use kqr_jobs::{JobState, Outcome};
use support::{System, job};

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_an_unreachable_data_centre_are_refused_and_others_are_served() {
    let mut system = System::start(&["a", "b"]).await;
    system.add_standin(0, "worker-a", &[]).await;
    system.add_standin(1, "worker-b", &[]).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for key in ["a/before", "b/before"] {
        assert_eq!(
            system.submit(0, key, &[10]).await.answer().state,
            JobState::Complete,
            "{key}"
        );
    }
    let before = system.starts().0;
    let unreachable = system.entries[1].take().unwrap();
    assert!(unreachable.close().await);
    assert_eq!(
        system.submit(0, "a/during", &[10]).await.answer().state,
        JobState::Complete
    );
    let fields = [("idempotency-key", "b/during"), ("kqr-deadline-ms", "1000")];
    let refused = system
        .send(0, Method::POST, "/v1/jobs", &fields, &job(&[10]))
        .await;
    let problem = refused.problem();
    assert_eq!(
        (problem.kind.as_str(), problem.outcome),
        ("home-unreachable", Outcome::MayHaveRun)
    );
    assert_eq!(
        system.starts(),
        (before + 1, 0),
        "a job whose home can't be reached must not be started elsewhere"
    );
    let entry = system.start_entry(1).await;
    system.entries[1] = Some(entry);
    system.wait_until_ready(1).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(
        system.submit(0, "b/during", &[10]).await.answer().state,
        JobState::Complete
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn key_submitted_in_three_data_centres_at_once_starts_once() {
    let mut system = System::start(&["a", "b", "c"]).await;
    for (index, id) in ["worker-a", "worker-b", "worker-c"].iter().enumerate() {
        system.add_standin(index, id, &[]).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..20 {
        let key = format!("key-{number}");
        let (first, second, third) = tokio::join!(
            system.submit(0, &key, &[20, 30]),
            system.submit(1, &key, &[20, 30]),
            system.submit(2, &key, &[20, 30])
        );
        assert_eq!(first.answer().state, JobState::Complete, "{}", first.text());
        assert_eq!(second.answer(), first.answer());
        assert_eq!(third.answer(), first.answer());
    }
    assert_eq!(system.starts(), (40, 0));
}
