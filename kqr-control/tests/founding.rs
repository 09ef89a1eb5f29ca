//! A system is founded only once: an instance that lost its disk can neither found the system again nor vote
//! under its former identity.

mod daemons;

use std::{
    fs,
    path::PathBuf,
    process::{Child, Stdio},
    time::{Duration, Instant},
};

use daemons::{Processes, STEP_TIMEOUT, command};
use kqr::{ChangeOptions, Connection};
use kqr_settings::{Action, Edit, Version};

/// Time in which a voter without a leader campaigns several times and a waiting founder logs the founders
/// that have not agreed.
const SEVERAL_ELECTIONS_TIME: Duration = Duration::from_secs(8);

async fn set(connection: &Connection, change: &str, base: u64) -> u64 {
    let options = ChangeOptions {
        change_id: Some(change.parse().unwrap()),
        base: Some(Version(base)),
        operator: "signe".parse().unwrap(),
        exclusive: false,
    };
    let edit = Edit {
        path: "limits/queued".parse().unwrap(),
        value: Some((base + 5).to_string()),
    };
    let accepted = kqr::submit(connection, &options, None, Action::Edit(vec![edit])).await;
    accepted.unwrap().version.0
}

fn lose_disk(processes: &Processes, number: usize) {
    fs::remove_dir_all(processes.folder.path().join(format!("data-{number}"))).unwrap();
}

/// Process that was started with `--found`, and the file that receives its standard error.
struct FoundingProcess {
    child: Child,
    stderr_path: PathBuf,
}

impl Drop for FoundingProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn_founder(processes: &Processes, number: usize) -> FoundingProcess {
    let stderr_path = processes.folder.path().join(format!("stderr-{number}"));
    let mut command = command(processes.folder.path(), number);
    command.arg("--found");
    command.stderr(Stdio::from(fs::File::create(&stderr_path).unwrap()));
    let child = command.spawn().unwrap();
    FoundingProcess { child, stderr_path }
}

/// Waits until the process has exited and returns whether it succeeded, and its standard error.
async fn wait_for_exit(mut instance: FoundingProcess) -> (bool, String) {
    let start = Instant::now();
    loop {
        let stderr = fs::read_to_string(&instance.stderr_path).unwrap();
        if let Some(status) = instance.child.try_wait().unwrap() {
            return (
                status.success(),
                fs::read_to_string(&instance.stderr_path).unwrap(),
            );
        }
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "the instance keeps running: {stderr}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn check_refusal(is_success: bool, stderr: &str, lost: usize) {
    assert!(!is_success);
    let expected = format!("without this data folder of control-{lost}");
    assert!(
        stderr.contains(&expected) && stderr.contains("--join"),
        "{stderr}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_system_refuses_to_be_founded_again() {
    let mut processes = Processes::start();
    let connection = processes.connection("token");
    let leader = processes.leader(&connection).await;
    assert_eq!(set(&connection, "c1", 0).await, 1);
    let lost = (leader + 1) % 3;
    processes.kill(lost);
    lose_disk(&processes, lost);

    let (is_success, stderr) = wait_for_exit(spawn_founder(&processes, lost)).await;
    check_refusal(is_success, &stderr, lost);
    assert_eq!(set(&connection, "c2", 1).await, 2);
    let again = connection.status(processes.operators[lost]).await;
    assert!(again.is_err(), "the refused instance serves operators");

    processes.start_instance(lost, &["--join"]);
    let start = Instant::now();
    while connection.status(processes.operators[lost]).await.is_err() {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "the refused instance did not join"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn founder_does_not_vote_while_another_founder_is_unreachable() {
    let mut processes = Processes::start();
    let connection = processes.connection("token");
    processes.leader(&connection).await;
    assert_eq!(set(&connection, "c1", 0).await, 1);
    for number in 0..3 {
        processes.kill(number);
    }
    // Two instances lose their disks. If they voted under their former identities, they would be a majority
    // without the accepted change.
    lose_disk(&processes, 0);
    lose_disk(&processes, 1);
    let first = spawn_founder(&processes, 0);
    let second = spawn_founder(&processes, 1);
    tokio::time::sleep(SEVERAL_ELECTIONS_TIME).await;
    for number in 0..2 {
        let status = connection.status(processes.operators[number]).await;
        assert!(status.is_err(), "control-{number} serves operators: {status:?}");
    }

    let stderr = fs::read_to_string(&first.stderr_path).unwrap();
    assert!(
        stderr.contains("waiting for control-2 to found the system"),
        "{stderr}"
    );

    processes.start_instance(2, &[]);
    let (is_success, stderr) = wait_for_exit(first).await;
    check_refusal(is_success, &stderr, 0);
    let (is_success, stderr) = wait_for_exit(second).await;
    check_refusal(is_success, &stderr, 1);
    let status = connection.status(processes.operators[2]).await.unwrap();
    assert_ne!(status.role, "leader");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn founding_continues_after_a_founder_restarts() {
    let mut processes = Processes::prepare("");
    processes.start_instance(0, &["--found"]);
    processes.start_instance(1, &["--found"]);
    let founding_file = processes.folder.path().join("data-0/founding");
    let start = Instant::now();
    while !founding_file.exists() {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "control-0 did not begin to found the system"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    processes.kill(0);
    processes.start_instance(0, &["--found"]);
    processes.start_instance(2, &["--found"]);
    let connection = processes.connection("token");
    processes.leader(&connection).await;
    assert_eq!(set(&connection, "c1", 0).await, 1);

    // A founder with a data folder resumes from it, even if it is started with --found.
    processes.kill(1);
    processes.start_instance(1, &["--found"]);
    let start = Instant::now();
    while connection.status(processes.operators[1]).await.is_err() {
        assert!(start.elapsed() < STEP_TIMEOUT, "the founder did not resume");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
