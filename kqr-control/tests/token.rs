//! Replacement of the operators' token while the control processes run.

mod daemons;

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use daemons::{Processes, STEP_TIMEOUT};
use kqr::{ChangeOptions, Connection, ConnectionOptions, FailureKind, Format};
use kqr_settings::{Action, Edit, Version};

const SECOND_TOKEN: &str = "the-second-token-0123456789";

/// Returns a connection to one process with the token in `file`.
fn connection(processes: &Processes, server: SocketAddr, file: &str) -> Connection {
    Connection::new(&ConnectionOptions {
        servers: vec![server],
        token_file: Some(processes.folder.path().join(file)),
        timeout: 8,
        stale: false,
        output: Format::Text,
    })
    .unwrap()
}

async fn failure_kind(connection: &Connection, server: SocketAddr) -> Option<FailureKind> {
    connection.status(server).await.err().map(|failure| failure.kind)
}

async fn wait_until(connection: &Connection, server: SocketAddr, expected: Option<FailureKind>) {
    let start = Instant::now();
    while failure_kind(connection, server).await != expected {
        assert!(start.elapsed() < STEP_TIMEOUT, "{server}: expected {expected:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_token_takes_effect_without_a_restart_and_an_invalid_one_is_ignored() {
    let processes = Processes::start();
    let folder = processes.folder.path();
    let first = processes.connection("token");
    let leader = processes.leader(&first).await;

    fs::write(folder.join("token"), SECOND_TOKEN).unwrap();
    fs::write(folder.join("second"), SECOND_TOKEN).unwrap();
    for &server in &processes.operators {
        wait_until(&connection(&processes, server, "second"), server, None).await;
        assert_eq!(
            failure_kind(&first, server).await,
            Some(FailureKind::Unauthenticated)
        );
    }

    // A follower forwards the change to the leader with the new token.
    let follower = processes.operators[(leader + 1) % 3];
    let options = ChangeOptions {
        change_id: None,
        base: Some(Version(0)),
        operator: "signe".parse().unwrap(),
        exclusive: false,
    };
    let edit = Edit {
        path: "limits/queued".parse().unwrap(),
        value: Some("5".to_owned()),
    };
    let second = connection(&processes, follower, "second");
    let accepted = kqr::submit(&second, &options, None, Action::Edit(vec![edit])).await;
    assert_eq!(accepted.unwrap().version, Version(1));

    // A token that is too short is ignored; a valid token after it takes effect.
    fs::write(folder.join("token"), "short").unwrap();
    fs::write(folder.join("short"), "short").unwrap();
    let short = connection(&processes, follower, "short");
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        assert_eq!(
            failure_kind(&short, follower).await,
            Some(FailureKind::Unauthenticated)
        );
        assert_eq!(failure_kind(&second, follower).await, None);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fs::write(folder.join("token"), daemons::TOKEN).unwrap();
    wait_until(&first, follower, None).await;
}
