//! Control processes: authentication, changes, loss of the leader, settings streams and loss of a disk.

mod daemons;

use std::{
    fs,
    path::Path,
    process::Command,
    time::{Duration, Instant},
};

use daemons::{Processes, STEP_TIMEOUT, TOKEN};
use kqr::{ChangeOptions, Connection, Failure, FailureKind};
use kqr_settings::{Action, Edit, Follower, FollowerOptions, Version, bootstrap::Bootstrap};
use kqr_wire::control::{
    SettingsStream, connect,
    messages::{ChangeRequest, control_client::ControlClient, voters_request::Change},
    rank_control_peers,
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

async fn set(connection: &Connection, change: &str, base: u64, value: &str) -> Result<u64, Failure> {
    let options = ChangeOptions {
        change_id: Some(change.parse().unwrap()),
        base: Some(Version(base)),
        operator: "signe".parse().unwrap(),
        exclusive: false,
    };
    let edit = Edit {
        path: "limits/queued".parse().unwrap(),
        value: Some(value.to_owned()),
    };
    let accepted = kqr::submit(connection, &options, None, Action::Edit(vec![edit])).await?;
    Ok(accepted.version.0)
}

/// Follows the settings as `entry-1` and publishes each applied version.
fn follow(folder: &Path, stop: CancellationToken) -> watch::Receiver<u64> {
    let bootstrap = Bootstrap::read(&folder.join("instances.yaml")).unwrap();
    let own = bootstrap.instance(&"entry-1".parse().unwrap()).unwrap().clone();
    let peers = rank_control_peers(&bootstrap, &own);
    let ids = peers.iter().map(|peer| peer.id.clone()).collect();
    let follower = Follower::new(FollowerOptions::default(), ids, None);
    let (tx, rx) = watch::channel(0);
    let stream = SettingsStream::new(own.id, peers, follower);
    tokio::spawn(stream.run(
        move |version, _| {
            tx.send_replace(version.0);
        },
        stop,
    ));
    rx
}

async fn wait_for(rx: &mut watch::Receiver<u64>, version: u64) {
    let waiting = rx.wait_for(|applied| *applied >= version);
    tokio::time::timeout(STEP_TIMEOUT, waiting)
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_survive_a_killed_leader_and_reach_a_following_process() {
    let mut processes = Processes::start();
    let connection = processes.connection("token");
    let leader = processes.leader(&connection).await;
    let stop = CancellationToken::new();
    let mut applied = follow(processes.folder.path(), stop.clone());

    let refused = set(&processes.connection("wrong"), "c0", 0, "4")
        .await
        .unwrap_err();
    assert_eq!(refused.kind, FailureKind::Unauthenticated);
    let mut bypass = ControlClient::new(connect(processes.peers[leader]).await.unwrap());
    let refused = bypass.forward(ChangeRequest::default()).await.unwrap_err();
    assert_eq!(refused.code(), tonic::Code::Unauthenticated);
    assert_eq!(set(&connection, "c1", 0, "5").await.unwrap(), 1);
    wait_for(&mut applied, 1).await;

    processes.kill(leader);
    let again = set(&connection, "c1", 0, "5").await.unwrap();
    assert_eq!(again, 1);
    assert_eq!(set(&connection, "c2", 1, "6").await.unwrap(), 2);
    wait_for(&mut applied, 2).await;
    let beaten = set(&connection, "c3", 1, "7").await.unwrap_err();
    assert_eq!(beaten.exit_code(), 3);

    processes.start_instance(leader, &[]);
    let start = Instant::now();
    loop {
        let status = connection.status(processes.operators[leader]).await;
        if status.is_ok_and(|status| status.version == 2) {
            break;
        }
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "the restarted instance did not catch up"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    stop.cancel();
}

async fn change_voters(connection: &Connection, change: Change) {
    let start = Instant::now();
    while let Err(failure) = connection.change_voters(change.clone()).await {
        assert!(start.elapsed() < STEP_TIMEOUT, "{change:?}: {failure}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_that_lost_its_disk_votes_again_under_a_new_identity() {
    let mut processes = Processes::start();
    let connection = processes.connection("token");
    let leader = processes.leader(&connection).await;
    assert_eq!(set(&connection, "c1", 0, "5").await.unwrap(), 1);
    let lost = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    processes.kill(lost);
    fs::remove_dir_all(processes.folder.path().join(format!("data-{lost}"))).unwrap();
    processes.start_instance(lost, &["--join"]);

    let start = Instant::now();
    let voter = loop {
        assert!(
            start.elapsed() < STEP_TIMEOUT,
            "the joining instance did not answer"
        );
        if let Ok(status) = connection.status(processes.operators[lost]).await {
            break status.voter;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    let old = format!("control-{lost}#1");
    assert_ne!(voter, old);
    change_voters(&connection, Change::Add(voter.clone())).await;
    change_voters(&connection, Change::Promote(voter.clone())).await;
    change_voters(&connection, Change::Remove(old)).await;

    processes.kill(other);
    assert_eq!(set(&connection, "c2", 1, "6").await.unwrap(), 2);
    let status = connection.status(processes.operators[lost]).await.unwrap();
    assert!(status.voters.contains(&voter), "{:?}", status.voters);
    assert_eq!(status.voters.len(), 3);
}

#[test]
fn empty_data_folder_is_refused_without_the_founding_option() {
    let processes = Processes::start();
    let mut second = Command::new(env!("CARGO_BIN_EXE_kqr-control"));
    second
        .arg("--config")
        .arg(processes.folder.path().join("instances.yaml"))
        .args(["--instance", "control-0", "--data"])
        .arg(processes.folder.path().join("empty"));
    let output = second.output().unwrap();
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("--found"), "{stderr}");
    assert!(!stderr.contains(TOKEN));
}
