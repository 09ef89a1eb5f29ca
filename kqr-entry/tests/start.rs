//! The process refuses invalid bootstrap files, finishes accepted work on SIGTERM, and exits at once on a
//! second one.

mod support;

use std::{
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use support::processes::Cluster;

fn start_with(name: &str, yaml: &str, instance: &str) -> Output {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("start");
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join(name);
    std::fs::write(&file, yaml).unwrap();
    let entry = env!("CARGO_BIN_EXE_kqr-entry");
    Command::new(entry)
        .arg("--config")
        .arg(&file)
        .args(["--instance", instance])
        .output()
        .unwrap()
}

struct Case {
    name: &'static str,
    yaml: &'static str,
    instance: &'static str,
    /// Substrings of the error message.
    expected: &'static [&'static str],
}

const SITE: &str = "data_centres: [{ name: a, region: r }]";

const CASES: [Case; 5] = [
    Case {
        name: "malformed.yaml",
        yaml: "data_centres: [{ name: a, region: r }]\ninstances:\n  - { id: e, role: entry",
        instance: "e",
        expected: &["malformed.yaml"],
    },
    Case {
        name: "unknown-role.yaml",
        yaml: "data_centres: [{ name: a, region: r }]\ninstances:\n  - { id: e, role: king, data_centre: a, peers: '127.0.0.1:1' }",
        instance: "e",
        expected: &["unknown-role.yaml", "3", "king", "entry", "control"],
    },
    Case {
        name: "unknown-field.yaml",
        yaml: "data_centres: [{ name: a, region: r }]\ninstances:\n  - { id: e, role: entry, data_centre: a, peers: '127.0.0.1:1', colour: red }",
        instance: "e",
        expected: &["unknown-field.yaml", "3", "colour"],
    },
    Case {
        name: "unknown-data-centre.yaml",
        yaml: "data_centres: [{ name: a, region: r }]\ninstances:\n  - { id: e, role: entry, data_centre: b, peers: '127.0.0.1:1', callers: '127.0.0.1:2', targets: '127.0.0.1:3' }",
        instance: "e",
        expected: &["unknown-data-centre.yaml", "instances[0].data_centre", "b", "a"],
    },
    Case {
        name: "unknown-instance.yaml",
        yaml: SITE_WITH_ENTRY,
        instance: "f",
        expected: &["f", "known instances: e"],
    },
];

const SITE_WITH_ENTRY: &str = "data_centres: [{ name: a, region: r }]\ninstances:\n  - { id: e, role: entry, data_centre: a, peers: '127.0.0.1:1', callers: '127.0.0.1:2', targets: '127.0.0.1:3' }";

#[test]
fn errors_of_invalid_bootstrap_files_name_the_position_and_the_allowed_values() {
    for case in CASES {
        assert!(case.yaml.starts_with(SITE));
        let output = start_with(case.name, case.yaml, case.instance);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success(),
            "{}: the process must not start",
            case.name
        );
        for part in case.expected {
            assert!(
                stderr.contains(part),
                "{}: {part:?} is missing in: {stderr}",
                case.name
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn first_sigterm_finishes_accepted_work_and_a_second_one_exits_at_once() {
    let mut cluster = Cluster::start("sigterm", &["a"], 1).await;
    let call = cluster.submit_in_background("accepted", &[1500]);
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.terminate(0);
    let answer = call.await.unwrap().expect("accepted work must be answered");
    assert_eq!(answer.state, kqr_jobs::JobState::Complete);
    assert!(cluster.wait_for_exit(0).success());

    cluster.start_entry(0);
    cluster.wait_until_ready(0).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let call = cluster.submit_in_background("aborted", &[60_000]);
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.terminate(0);
    tokio::time::sleep(Duration::from_millis(200)).await;
    cluster.terminate(0);
    assert!(
        !cluster.wait_for_exit(0).success(),
        "the exit code must report that accepted work was aborted"
    );
    call.abort();
}
