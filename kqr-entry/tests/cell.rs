//! Entries of a data centre are killed, frozen and restarted: each job is answered whole, and no task starts
//! twice.

mod support;

use std::time::Duration;

use support::processes::{Callers, Cluster};

#[tokio::test(flavor = "multi_thread")]
async fn killed_home_leaves_no_job_unanswered() {
    let mut cluster = Cluster::start("killed_home", &["a", "a", "a"], 4).await;
    let callers = Callers::start(&cluster, 60, Duration::from_millis(50));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    cluster.kill(1);
    callers.check_complete(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_home_that_resumes_starts_no_task_twice() {
    let cluster = Cluster::start("frozen_home", &["a", "a", "a"], 4).await;
    let callers = Callers::start(&cluster, 60, Duration::from_millis(100));
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.freeze(0, true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.freeze(0, false);
    callers.check_complete(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn loss_of_a_second_instance_right_after_a_repair_leaves_no_job_unanswered() {
    let mut cluster = Cluster::start("second_loss", &["a", "a", "a"], 4).await;
    let callers = Callers::start(&cluster, 120, Duration::from_millis(60));
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.kill(2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.start_entry(2);
    cluster.wait_until_ready(2).await;
    cluster.kill(0);
    callers.check_complete(&cluster).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cell_of_two_with_a_witness_survives_the_loss_of_one() {
    let mut cluster = Cluster::start("witness", &["a", "a", "b"], 3).await;
    let callers = Callers::start(&cluster, 60, Duration::from_millis(50));
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.kill(0);
    callers.check_complete(&cluster).await;
}
