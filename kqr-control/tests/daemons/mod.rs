//! Three control processes on the loopback interface.
#![allow(dead_code)]

#[path = "../../../kqr-entry/tests/support/ports.rs"]
mod ports;

use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use kqr::{Connection, ConnectionOptions, Format};

/// Timeout of one step of a test. Only a step that never completes reaches it.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(30);
pub const TOKEN: &str = "a-token-of-the-tests-0123456789";

pub struct Processes {
    pub folder: tempfile::TempDir,
    pub peers: Vec<SocketAddr>,
    pub operators: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| ports::free_address()).collect()
}

impl Processes {
    /// Starts three processes that found a system.
    pub fn start() -> Self {
        let mut processes = Self::prepare("");
        processes.found();
        processes
    }

    /// Writes the configuration of three processes. `extra_config` is appended to the bootstrap file.
    pub fn prepare(extra_config: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let addresses = free_addresses(7);
        let mut text = "data_centres: [{ name: uppsala, region: svealand }]\ninstances:\n".to_owned();
        for number in 0..3 {
            let (peers, operators) = (addresses[number], addresses[3 + number]);
            writeln!(
                text,
                "  - {{ id: control-{number}, role: control, data_centre: uppsala, peers: \"{peers}\", \
                 operators: \"{operators}\" }}"
            )
            .unwrap();
        }
        let entry = addresses[6];
        writeln!(
            text,
            "  - {{ id: entry-1, role: entry, data_centre: uppsala, peers: \"{entry}\", callers: \"{entry}\", \
             targets: \"{entry}\" }}\noperator_token_file: token\n{extra_config}"
        )
        .unwrap();
        fs::write(folder.path().join("instances.yaml"), text).unwrap();
        fs::write(folder.path().join("token"), TOKEN).unwrap();
        fs::write(folder.path().join("wrong"), "another-token-0123456789").unwrap();
        Self {
            folder,
            peers: addresses[..3].to_vec(),
            operators: addresses[3..6].to_vec(),
            children: vec![None, None, None],
        }
    }

    pub fn found(&mut self) {
        for number in 0..3 {
            self.start_instance(number, &["--found"]);
        }
    }

    pub fn start_instance(&mut self, number: usize, arguments: &[&str]) {
        let mut command = command(self.folder.path(), number);
        command.args(arguments);
        self.children[number] = Some(command.spawn().unwrap());
    }

    pub fn kill(&mut self, number: usize) {
        let mut child = self.children[number].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn connection(&self, token: &str) -> Connection {
        Connection::new(&ConnectionOptions {
            servers: self.operators.clone(),
            token_file: Some(self.folder.path().join(token)),
            timeout: 8,
            stale: false,
            output: Format::Text,
        })
        .unwrap()
    }

    pub async fn leader(&self, connection: &Connection) -> usize {
        let start = Instant::now();
        while start.elapsed() < STEP_TIMEOUT {
            for (number, &address) in self.operators.iter().enumerate() {
                let status = connection.status(address).await;
                if status.is_ok_and(|status| status.role == "leader") {
                    return number;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no leader");
    }
}

pub fn command(folder: &Path, number: usize) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kqr-control"));
    command
        .arg("--config")
        .arg(folder.join("instances.yaml"))
        .arg("--instance")
        .arg(format!("control-{number}"))
        .arg("--data")
        .arg(folder.join(format!("data-{number}")))
        .stderr(Stdio::null());
    command
}
