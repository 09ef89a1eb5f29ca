//! Entries in separate processes, which can be killed and frozen.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use clap::Parser;
use http_body_util::Full;
use hyper::Request;
use kqr_http::{Client, ClientOptions};
use kqr_jobs::{JobState, Outcome};
use kqr_types::KeyDigest;
use kqr_wire::callers::{JobAnswerBody, ProblemBody};

use super::{Addresses, bootstrap_yaml, job};

/// Longest time that a caller retries a submission.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Entries in separate processes, and stand-ins in the test process.
pub struct Cluster {
    folder: PathBuf,
    cold_start_window: &'static str,
    addresses: Vec<Addresses>,
    children: Vec<Option<Child>>,
    standins: Vec<kqr_standin::Running>,
    client: Client,
}

/// Run times of the tasks of each job, in milliseconds.
const TASK_RUN_MS: [u64; 4] = [80, 160, 240, 400];

/// Callers that submit one job each, to the entries in turn.
pub struct Callers {
    answers: Vec<tokio::task::JoinHandle<(String, Option<JobAnswerBody>)>>,
}

impl Callers {
    /// Starts `jobs` callers at intervals of `interval`.
    pub fn start(cluster: &Cluster, jobs: usize, interval: Duration) -> Self {
        let mut answers = Vec::new();
        for number in 0..jobs {
            let caller = Caller {
                entries: cluster
                    .addresses
                    .iter()
                    .map(|addresses| addresses.callers)
                    .collect(),
                client: cluster.client.clone(),
            };
            answers.push(tokio::spawn(async move {
                tokio::time::sleep(interval * number as u32).await;
                let key = format!("job-{number}");
                let answer = caller.submit(number, &key, &TASK_RUN_MS).await;
                (key, answer)
            }));
        }
        Self { answers }
    }

    /// Waits for all answers and checks that none is partial, that no task was started twice, and that no
    /// task reported as not-run was started.
    pub async fn check_safety(self, cluster: &Cluster, seed: u64) {
        let mut complete = 0;
        let mut not_run = Vec::new();
        for answer in self.answers {
            let (key, answer) = answer.await.unwrap();
            let Some(answer) = answer else { continue };
            if answer.state == JobState::Complete {
                assert_whole(&key, TASK_RUN_MS.len(), Some(&answer));
                complete += 1;
                continue;
            }
            let digest = KeyDigest::of(&key.parse().unwrap());
            for task in &answer.tasks {
                assert!(
                    task.result.is_none(),
                    "seed {seed}: {key} has a partial answer: {answer:?}"
                );
                if task.outcome == Outcome::NotRun {
                    not_run.push(format!("{digest}-{}-", task.task));
                }
            }
        }
        let started = cluster.started_attempts();
        for task in not_run {
            let start = started.iter().find(|attempt| attempt.starts_with(&task));
            assert_eq!(start, None, "seed {seed}: a task reported as not-run was started");
        }
        assert_eq!(cluster.starts().1, 0, "seed {seed}: tasks were started twice");
        assert!(complete > 0, "seed {seed}: no job was completed");
    }

    /// Waits for all answers and checks that each is whole and that no task was started twice.
    pub async fn check_complete(self, cluster: &Cluster) {
        let jobs = self.answers.len();
        for answer in self.answers {
            let (key, answer) = answer.await.unwrap();
            assert_whole(&key, TASK_RUN_MS.len(), answer.as_ref());
        }
        assert_eq!(cluster.starts(), (jobs * TASK_RUN_MS.len(), 0));
    }
}

/// A caller that may submit to any of `entries`.
struct Caller {
    entries: Vec<SocketAddr>,
    client: Client,
}

impl Caller {
    /// Submits a job, and resubmits it with the same key to the next entry until there is a final answer.
    /// Returns `None` if there is none within [`CALLER_TIMEOUT`].
    async fn submit(&self, first: usize, key: &str, run_ms: &[u64]) -> Option<JobAnswerBody> {
        let until = tokio::time::Instant::now() + CALLER_TIMEOUT;
        let mut tries = 0;
        while tokio::time::Instant::now() < until {
            let entry = self.entries[(first + tries) % self.entries.len()];
            tries += 1;
            let req = Request::post(format!("http://{entry}/v1/jobs"))
                .header("idempotency-key", key)
                .header("kqr-attempt", tries)
                .header("kqr-deadline-ms", 15_000)
                .body(Full::new(Bytes::from(job(run_ms))))
                .unwrap();
            if let Ok((_, bytes)) = self.client.send_and_read(req, Duration::from_secs(4)).await {
                if let Ok(answer) = serde_json::from_slice::<JobAnswerBody>(&bytes) {
                    return Some(answer);
                }
                let problem: ProblemBody = serde_json::from_slice(&bytes).unwrap();
                assert_ne!(problem.outcome, Outcome::Ran, "{key}: {problem:?}");
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }
}

impl Cluster {
    /// Starts one entry for each name in `data_centres`, and `workers` stand-ins in each data centre.
    pub async fn start(name: &str, data_centres: &[&str], workers: usize) -> Self {
        Self::start_with(name, data_centres, workers, "0s").await
    }

    /// Starts a cluster whose entries refuse unknown keys for `cold_start_window` after the loss of their
    /// records.
    pub async fn start_with(
        name: &str,
        data_centres: &[&str],
        workers: usize,
        cold_start_window: &'static str,
    ) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let (yaml, addresses) = bootstrap_yaml(data_centres);
        std::fs::write(folder.join("instances.yaml"), yaml).unwrap();
        let mut cluster = Self {
            folder,
            cold_start_window,
            addresses,
            children: Vec::new(),
            standins: Vec::new(),
            client: Client::new(ClientOptions::default()),
        };
        for index in 0..data_centres.len() {
            cluster.children.push(None);
            cluster.start_entry(index);
        }
        for index in 0..data_centres.len() {
            cluster.wait_until_ready(index).await;
        }
        let names: std::collections::BTreeSet<&str> = data_centres.iter().copied().collect();
        for data_centre in names {
            for number in 0..workers {
                cluster.add_standin(data_centre, number, data_centres).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster
    }

    /// Starts the entry with `index`.
    pub fn start_entry(&mut self, index: usize) {
        let log = std::fs::File::create(self.folder.join(format!("entry-{index}.log"))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_kqr-entry"))
            .arg("--config")
            .arg(self.folder.join("instances.yaml"))
            .args([
                "--instance",
                &format!("entry-{index}"),
                "--cold-start-window",
                self.cold_start_window,
            ])
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        self.children[index] = Some(child);
    }

    async fn add_standin(&mut self, data_centre: &str, number: usize, data_centres: &[&str]) {
        let id = format!("worker-{data_centre}-{number}");
        let mut line = vec![
            "kqr-standin".to_owned(),
            "--id".to_owned(),
            id,
            "--service".to_owned(),
            "press".to_owned(),
        ];
        for (index, name) in data_centres.iter().enumerate() {
            if *name == data_centre {
                line.extend(["--entry".to_owned(), self.addresses[index].targets.to_string()]);
            }
        }
        let options = kqr_standin::Options::parse_from(line);
        self.standins
            .push(kqr_standin::Running::start(options).await.unwrap());
    }

    /// Waits until the cell has admitted the entry with `index`.
    pub async fn wait_until_ready(&mut self, index: usize) {
        for _ in 0..1200 {
            let child = self.children[index].as_mut().unwrap();
            if let Some(status) = child.try_wait().unwrap() {
                panic!("entry {index} exited with {status}: {}", self.log(index));
            }
            let uri = format!("http://{}/readyz", self.addresses[index].callers)
                .parse()
                .unwrap();
            let reply = self
                .client
                .send_json::<()>(hyper::Method::GET, uri, None, Duration::from_secs(1))
                .await;
            if reply.is_ok_and(|(status, _)| status.is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("entry {index} did not become ready: {}", self.log(index));
    }

    /// Returns the log of the latest process of the entry with `index`.
    fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("entry-{index}.log"))).unwrap()
    }

    /// Kills the entry with `index`.
    pub fn kill(&mut self, index: usize) {
        let mut child = self.children[index].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM to the entry with `index`.
    pub fn terminate(&self, index: usize) {
        let pid = self.children[index].as_ref().unwrap().id().to_string();
        assert!(
            Command::new("kill")
                .args(["-TERM", &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Waits until the process of the entry with `index` has exited.
    pub fn wait_for_exit(&mut self, index: usize) -> std::process::ExitStatus {
        self.children[index].take().unwrap().wait().unwrap()
    }

    /// Returns the first value of a metric of the entry with `index`, or 0 if there is none.
    pub async fn metric(&self, index: usize, name: &str) -> u64 {
        super::metric(&self.client, self.addresses[index].callers, name).await
    }

    /// Submits one job to the first entry in a background task.
    pub fn submit_in_background(
        &self,
        key: &str,
        run_ms: &[u64],
    ) -> tokio::task::JoinHandle<Option<JobAnswerBody>> {
        let caller = Caller {
            entries: vec![self.addresses[0].callers],
            client: self.client.clone(),
        };
        let (key, run_ms) = (key.to_owned(), run_ms.to_vec());
        tokio::spawn(async move { caller.submit(0, &key, &run_ms).await })
    }

    /// Freezes the entry with `index`, or resumes it.
    pub fn freeze(&self, index: usize, is_frozen: bool) {
        let pid = self.children[index].as_ref().unwrap().id().to_string();
        let signal = if is_frozen { "-STOP" } else { "-CONT" };
        assert!(
            Command::new("kill")
                .args([signal, &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Returns the attempts that were started at all stand-ins.
    pub fn started_attempts(&self) -> Vec<String> {
        self.standins
            .iter()
            .flat_map(|standin| standin.standin.starts().attempts)
            .collect()
    }

    /// Returns the number of starts, and of those beyond the first start of a task.
    pub fn starts(&self) -> (usize, usize) {
        super::count_starts(&self.standins)
    }
}

/// Checks that `answer` is the complete answer to the job with `key`.
fn assert_whole(key: &str, tasks: usize, answer: Option<&JobAnswerBody>) {
    let answer = answer.unwrap_or_else(|| panic!("{key} got no answer"));
    assert_eq!(answer.state, JobState::Complete, "{key}: {answer:?}");
    assert_eq!((answer.key.as_str(), answer.tasks.len()), (key, tasks));
    for (index, task) in answer.tasks.iter().enumerate() {
        assert_eq!(task.result, Some(format!("{key}#{index}:e{index}")));
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
