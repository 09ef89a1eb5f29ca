//! A system is founded once: an instance that lost its disk can't found a second one, nor vote as its old self.

mod daemons;

use std::{
    fs,
    path::PathBuf,
    process::{Child, Stdio},
    time::{Duration, Instant},
};

use daemons::{PATIENCE, Processes, command};
use kqr::{ChangeOptions, Connection};
use kqr_settings::{Action, Edit, Version};

/// Time in which a voter without a leader campaigns several times.
const SEVERAL_ELECTIONS: Duration = Duration::from_secs(4);

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

/// An instance that is started with `--found`, and the file with what it says.
struct FoundingAgain {
    child: Child,
    said: PathBuf,
}

impl Drop for FoundingAgain {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn found_again(processes: &Processes, number: usize) -> FoundingAgain {
    let said = processes.folder.path().join(format!("said-{number}"));
    let mut command = command(processes.folder.path(), number);
    command.arg("--found");
    command.stderr(Stdio::from(fs::File::create(&said).unwrap()));
    let child = command.spawn().unwrap();
    FoundingAgain { child, said }
}

/// Waits until the process has ended and returns whether it succeeded and what it said.
async fn end(mut instance: FoundingAgain) -> (bool, String) {
    let start = Instant::now();
    loop {
        let said = fs::read_to_string(&instance.said).unwrap();
        if let Some(status) = instance.child.try_wait().unwrap() {
            return (status.success(), fs::read_to_string(&instance.said).unwrap());
        }
        assert!(start.elapsed() < PATIENCE, "the instance goes on: {said}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn check_refusal(is_success: bool, said: &str, lost: usize) {
    assert!(!is_success);
    let expected = format!("without this data folder of control-{lost}");
    assert!(said.contains(&expected) && said.contains("--join"), "{said}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_living_group_refuses_to_be_founded_again() {
    let mut processes = Processes::start();
    let connection = processes.connection("token");
    let leader = processes.leader(&connection).await;
    assert_eq!(set(&connection, "c1", 0).await, 1);
    let lost = (leader + 1) % 3;
    processes.kill(lost);
    lose_disk(&processes, lost);

    let (is_success, said) = end(found_again(&processes, lost)).await;
    check_refusal(is_success, &said, lost);
    assert_eq!(set(&connection, "c2", 1).await, 2);
    let again = connection.status(processes.operators[lost]).await;
    assert!(again.is_err(), "the refused instance serves");

    processes.start_one(lost, &["--join"]);
    let start = Instant::now();
    while connection.status(processes.operators[lost]).await.is_err() {
        assert!(start.elapsed() < PATIENCE, "the refused folder can't join");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_reaches_no_founder_waits_and_votes_for_nobody() {
    let mut processes = Processes::start();
    let connection = processes.connection("token");
    processes.leader(&connection).await;
    assert_eq!(set(&connection, "c1", 0).await, 1);
    for number in 0..3 {
        processes.kill(number);
    }
    // Two lose their disks: with votes as their old selves they would be a majority without the accepted change.
    lose_disk(&processes, 0);
    lose_disk(&processes, 1);
    let first = found_again(&processes, 0);
    let second = found_again(&processes, 1);
    tokio::time::sleep(SEVERAL_ELECTIONS).await;
    for number in 0..2 {
        let status = connection.status(processes.operators[number]).await;
        assert!(status.is_err(), "control-{number} serves: {status:?}");
    }

    processes.start_one(2, &[]);
    let (is_success, said) = end(first).await;
    check_refusal(is_success, &said, 0);
    let (is_success, said) = end(second).await;
    check_refusal(is_success, &said, 1);
    let status = connection.status(processes.operators[2]).await.unwrap();
    assert_ne!(status.role, "leader");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_founder_that_stops_before_the_others_came_goes_on_later() {
    let mut processes = Processes::prepare("");
    processes.start_one(0, &["--found"]);
    processes.start_one(1, &["--found"]);
    let begun = processes.folder.path().join("data-0/founding");
    let start = Instant::now();
    while !begun.exists() {
        assert!(start.elapsed() < PATIENCE, "the founding does not begin");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    processes.kill(0);
    processes.start_one(0, &["--found"]);
    processes.start_one(2, &["--found"]);
    let connection = processes.connection("token");
    processes.leader(&connection).await;
    assert_eq!(set(&connection, "c1", 0).await, 1);

    // With its folder a founder starts again as it is, whatever it is told.
    processes.kill(1);
    processes.start_one(1, &["--found"]);
    let start = Instant::now();
    while connection.status(processes.operators[1]).await.is_err() {
        assert!(start.elapsed() < PATIENCE, "a founder does not start again");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
