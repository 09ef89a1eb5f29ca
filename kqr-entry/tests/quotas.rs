//! The parts of a team's quota follow the live members of the cell and their demand; their sum never exceeds
//! the quota.

mod support;

use std::time::Duration;

use kqr_entry::Running;
use kqr_settings::{Tree, Version};
use kqr_types::TeamName;
use support::{System, job, key_homed_at};

/// Quota of the team, in tasks per second.
const QUOTA: u32 = 90;
/// Most polls of the parts until they must be as expected.
const MAX_POLLS: usize = 400;
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn team() -> TeamName {
    "kitchen".parse().unwrap()
}

fn settings(quota: u32) -> Tree {
    let mut tree = Tree::default();
    tree.set("teams/kitchen/quota".parse().unwrap(), format!("{quota}/s"));
    tree
}

/// Returns the parts of the quota. Two equal reads in a row exclude a part that moved during the read.
fn parts(entries: &[&Running]) -> Vec<u32> {
    let read = || -> Vec<u32> { entries.iter().map(|entry| entry.leased_quota(&team())).collect() };
    loop {
        let first = read();
        if first == read() {
            return first;
        }
    }
}

/// Waits until the parts are as expected, and checks on each poll that their sum does not exceed `max`.
async fn wait_for<F>(entries: &[&Running], max: u32, what: &str, is_expected: F)
where
    F: Fn(&[u32]) -> bool,
{
    let mut seen = Vec::new();
    for _ in 0..MAX_POLLS {
        seen = parts(entries);
        assert!(
            seen.iter().sum::<u32>() <= max,
            "{what}: more than {max} in {seen:?}"
        );
        if is_expected(&seen) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{what}: the parts are still {seen:?}");
}

async fn submit(system: &System, number: usize) {
    let key = key_homed_at(0, 3, &format!("job-{number}"));
    let fields = [("idempotency-key", key.as_str()), ("kqr-team", "kitchen")];
    system
        .send(
            0,
            hyper::Method::POST,
            "/v1/jobs?wait=false",
            &fields,
            &job(&[1; 10]),
        )
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_of_a_quota_follow_demand_and_members() {
    let mut system = System::start(&["a", "a", "a"]).await;
    system
        .add_standin(0, "worker", &["--slots", "64", "--connections", "64"])
        .await;
    let running: Vec<&Running> = system.entries.iter().flatten().collect();
    for entry in &running {
        assert_eq!(
            entry.leased_quota(&team()),
            0,
            "nothing must be leased before the settings name the team"
        );
        entry.apply_settings(Version(1), &settings(QUOTA));
    }
    wait_for(&running, QUOTA, "no demand", |parts| parts == [QUOTA / 3; 3]).await;
    for number in 0..MAX_POLLS {
        submit(&system, number).await;
        let seen = parts(&running);
        assert!(
            seen.iter().sum::<u32>() <= QUOTA,
            "more than the quota in {seen:?}"
        );
        if seen[0] > QUOTA * 2 / 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(
        parts(&running)[0] > QUOTA * 2 / 3,
        "the parts did not follow the demand: {:?}",
        parts(&running)
    );
    let left = system.entries[2].take().unwrap();
    assert!(left.close().await);
    let running: Vec<&Running> = system.entries.iter().flatten().collect();
    let is_whole = |parts: &[u32]| parts.iter().sum::<u32>() == QUOTA;
    wait_for(&running, QUOTA, "after a leave", is_whole).await;
    for entry in &running {
        entry.apply_settings(Version(2), &settings(QUOTA / 3));
    }
    // Parts of the larger quota apply until the share allocator has received the smaller one.
    let is_less = |parts: &[u32]| parts.iter().sum::<u32>() == QUOTA / 3;
    wait_for(&running, QUOTA, "smaller quota", is_less).await;
    for entry in &running {
        entry.apply_settings(Version(3), &Tree::default());
        assert_eq!(
            entry.leased_quota(&team()),
            0,
            "a team that the settings no longer name must have no quota"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn part_of_a_failed_entry_moves_to_the_others() {
    let mut system = System::start(&["a", "a", "a"]).await;
    let left = system.entries[2].take().unwrap();
    assert!(left.close().await);
    // The third entry runs on a runtime of its own, which is shut down without a graceful close of the entry.
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let launch = system.launch(2);
    let failing = runtime.spawn(launch).await.unwrap();
    system.wait_until_ready(2).await;
    let running: Vec<&Running> = system.entries.iter().flatten().chain([&failing]).collect();
    for entry in &running {
        entry.apply_settings(Version(1), &settings(QUOTA));
    }
    wait_for(&running, QUOTA, "three members", |parts| parts == [QUOTA / 3; 3]).await;
    runtime.shutdown_background();
    let running: Vec<&Running> = system.entries.iter().flatten().collect();
    wait_for(&running, QUOTA, "after a failure", |parts| {
        parts == [QUOTA / 2; 2]
    })
    .await;
}
