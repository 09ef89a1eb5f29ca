//! Submissions of a team that numbers its tries: a later try finds its job in any data centre, no task starts
//! twice, and an outcome of not-run is true, also during a network partition.

mod support;

use std::time::Duration;

use hyper::Method;
use kqr_jobs::{JobState, Outcome};
use kqr_settings::{
    Tree, Version,
    bootstrap::{Instance, Role},
};
use support::{Reply, System, job, partition_proxy::PartitionProxy};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

async fn start() -> (System, Vec<PartitionProxy>) {
    let (mut system, proxies) = System::start_with_partition_proxies(&DATA_CENTRES).await;
    let mut tree = Tree::default();
    tree.set(
        "teams/kitchen/resubmissions".parse().unwrap(),
        "marked".to_owned(),
    );
    for (index, id) in ["worker-a", "worker-b", "worker-c"].iter().enumerate() {
        system.add_standin(index, id, &[]).await;
        system.entries[index]
            .as_ref()
            .unwrap()
            .apply_settings(Version(1), &tree);
    }
    (system, proxies)
}

/// Submits a job of one task to the entry with `index`. `attempt` is the number of the try.
async fn send(system: &System, index: usize, key: &str, attempt: &str, run_ms: u64) -> Reply {
    let fields = [
        ("idempotency-key", key),
        ("kqr-team", "kitchen"),
        ("kqr-attempt", attempt),
        ("kqr-deadline-ms", "8000"),
    ];
    system
        .send(index, Method::POST, "/v1/jobs", &fields, &job(&[run_ms]))
        .await
}

fn assert_complete(reply: &Reply) {
    assert_eq!(reply.answer().state, JobState::Complete, "{}", reply.text());
}

fn assert_uncertain(reply: &Reply) {
    assert_eq!(reply.problem().outcome, Outcome::MayHaveRun, "{}", reply.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn later_try_finds_its_job_in_any_data_centre() {
    let (system, _proxies) = start().await;
    for number in 0..6 {
        let key = format!("ended-{number}");
        let first = send(&system, number % 3, &key, "1", 10).await;
        assert_complete(&first);
        let second = send(&system, (number + 1) % 3, &key, "2", 10).await;
        assert_eq!(second.answer(), first.answer());
        let path = format!("/v1/jobs/{key}");
        let found = system.send((number + 2) % 3, Method::GET, &path, &[], "").await;
        assert_eq!(found.answer(), first.answer(), "{}", found.text());
    }
    assert_eq!(system.starts(), (6, 0));
    let later = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        send(&system, 1, "running", "2", 1500).await
    };
    let (first, second) = tokio::join!(send(&system, 0, "running", "1", 1500), later);
    assert_complete(&first);
    assert_eq!(second.answer(), first.answer());
    let other_body = send(&system, 2, "running", "3", 11).await;
    assert_eq!(other_body.problem().kind, "key-reused");
    assert_eq!(system.starts(), (7, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn later_try_of_an_unknown_key_runs_once_and_a_delayed_first_try_does_not_run() {
    let (system, _proxies) = start().await;
    let second = send(&system, 1, "lost", "2", 10).await;
    assert_complete(&second);
    let delayed = send(&system, 0, "lost", "1", 10).await;
    assert_uncertain(&delayed);
    let third = send(&system, 2, "lost", "3", 10).await;
    assert_eq!(third.answer(), second.answer());
    for number in 0..10 {
        let key = format!("twice-{number}");
        let (left, right) = tokio::join!(send(&system, 0, &key, "2", 10), send(&system, 2, &key, "3", 10));
        for reply in [left, right] {
            if reply.status.is_success() {
                assert_complete(&reply);
            } else {
                assert_uncertain(&reply);
            }
        }
    }
    assert_eq!(system.starts().1, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn submission_without_a_number_is_refused_unless_its_key_names_the_home() {
    let (system, _proxies) = start().await;
    let fields = [("idempotency-key", "unnumbered"), ("kqr-team", "kitchen")];
    let refused = system
        .send(0, Method::POST, "/v1/jobs", &fields, &job(&[10]))
        .await;
    let problem = refused.problem();
    assert_eq!(
        (problem.status, problem.field.as_deref(), problem.outcome),
        (400, Some("kqr-attempt"), Outcome::NotRun)
    );
    assert_eq!(system.starts(), (0, 0));
    let fields = [("idempotency-key", "b/unnumbered"), ("kqr-team", "kitchen")];
    for index in 0..3 {
        assert_complete(
            &system
                .send(index, Method::POST, "/v1/jobs", &fields, &job(&[10]))
                .await,
        );
    }
    assert_eq!(system.starts(), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn later_try_across_a_partition_is_refused_as_may_have_run_and_answered_after_it() {
    let (system, proxies) = start().await;
    let first = send(&system, 0, "before", "1", 10).await;
    assert_complete(&first);
    for proxy in &proxies {
        proxy.set_partitioned(true);
    }
    // Both sides of the partition go on serving first tries of any key.
    for number in 0..6 {
        assert_complete(&send(&system, number % 3, &format!("during-{number}"), "1", 10).await);
    }
    let before = system.starts();
    assert_eq!(before, (7, 0));
    assert_uncertain(&send(&system, 1, "before", "2", 10).await);
    assert_uncertain(&send(&system, 1, "during-0", "2", 10).await);
    assert_uncertain(&send(&system, 2, "never-seen", "2", 10).await);
    assert_uncertain(&send(&system, 0, "never-seen", "3", 10).await);
    assert_eq!(
        system.starts(),
        before,
        "a task whose earlier try can't be looked up must not start"
    );
    for proxy in &proxies {
        proxy.set_partitioned(false);
    }
    let healed = send(&system, 1, "before", "3", 10).await;
    assert_eq!(healed.answer(), first.answer());
    assert_complete(&send(&system, 2, "during-0", "3", 10).await);
    assert_complete(&send(&system, 0, "during-1", "2", 10).await);
    assert_eq!(system.starts(), before);
    // During the partition, the other data centres have renounced the key in favour of c, and some in favour
    // of a.
    for (index, attempt) in [(2, "4"), (1, "5"), (0, "6")] {
        let reply = send(&system, index, "never-seen", attempt, 10).await;
        if reply.status.is_success() {
            assert_complete(&reply);
        } else {
            assert_uncertain(&reply);
        }
    }
    let (starts, duplicates) = system.starts();
    assert!(
        starts <= before.0 + 1 && duplicates == 0,
        "{starts} starts, {duplicates} duplicates"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_without_settings_does_not_run_a_job_again() {
    let (mut system, _proxies) = start().await;
    assert!(system.entries[1].take().unwrap().close().await);
    let control = Instance {
        id: "control".parse().unwrap(),
        role: Role::Control,
        peers: "127.0.0.1:9".parse().unwrap(),
        ..system.bootstrap.instances[1].clone()
    };
    system.bootstrap.instances.push(control);
    system.entries[1] = Some(system.start_entry(1).await);
    system.wait_until_ready(1).await;
    for number in 0..10 {
        let key = format!("key-{number}");
        let first = send(&system, 0, &key, "1", 10).await;
        assert_complete(&first);
        let second = send(&system, 1, &key, "2", 10).await;
        assert_eq!(second.answer(), first.answer());
    }
    assert_eq!(system.starts(), (10, 0));
}
