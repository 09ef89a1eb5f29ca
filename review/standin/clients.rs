//! Clients, and the platform's choice of the daemon for each new connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{cluster, http, record::Record};

pub const HOST: &str = "shop.example";
pub const PREFIX: &str = "/jobs/";
pub const SERVICE: &str = "press";

static NEXT_JOB: AtomicU64 = AtomicU64::new(1);

/// Returns a job id of 16 hexadecimal digits that begins with `digit`.
pub fn new_job(digit: char) -> String {
    let number = NEXT_JOB.fetch_add(1, Ordering::Relaxed);
    format!("{digit}{:07x}{number:08x}", std::process::id() & 0x0fff_ffff)
}

/// A job that need not be stored.
pub struct Job {
    pub id: String,
    /// Run time of each task.
    pub work_ms: u64,
    /// Number of tasks of each step.
    pub steps: Vec<u32>,
    /// Whether each step depends on the step before it.
    pub is_chain: bool,
    pub cpu: u64,
    /// Label that the runner must have; may be empty.
    pub constraints: &'static str,
    pub deadline_ms: u64,
}

impl Job {
    /// Returns a job with one task.
    pub fn of_one_task(digit: char, work_ms: u64, cpu: u64) -> Job {
        Job {
            id: new_job(digit),
            work_ms,
            steps: vec![1],
            is_chain: false,
            cpu,
            constraints: "",
            deadline_ms: 1500,
        }
    }

    fn body(&self) -> String {
        let mut steps = Vec::new();
        for (number, count) in self.steps.iter().enumerate() {
            let mut step = format!(
                "{{\"count\":{count},\"cpu\":{},\"memMb\":64,\"estimatedMs\":{}",
                self.cpu, self.work_ms
            );
            if !self.constraints.is_empty() {
                step.push_str(&format!(",\"constraints\":\"{}\"", self.constraints));
            }
            if self.is_chain && number > 0 {
                step.push_str(&format!(",\"dependsOn\":[{}]", number - 1));
            }
            steps.push(step + "}");
        }
        format!(
            "{{\"bestEffort\":true,\"spec\":\"{}\",\"steps\":[{}]}}",
            self.work_ms,
            steps.join(",")
        )
    }

    /// Hands the job in at `addr` and waits for the response. Returns its status, or 0 without one.
    pub fn submit(&self, addr: SocketAddr, record: &Record) -> u16 {
        let deadline = self.deadline_ms.to_string();
        let headers = [("Host", HOST), ("Kumquatroad-Deadline-Ms", deadline.as_str())];
        let timeout = Duration::from_millis(self.deadline_ms);
        record.line(&format!("client hands job {} in at {addr}", self.id));
        let path = format!("{PREFIX}{}", self.id);
        let (status, text) = match http::call(addr, "POST", &path, &headers, &self.body(), timeout) {
            Ok(answer) => (answer.status, String::from_utf8_lossy(&answer.body).into_owned()),
            Err(error) => (0, format!("no response: {error}")),
        };
        record.line(&format!("client gets {status} for job {} {text}", self.id));
        status
    }
}

/// Returns a configuration with one route, on which all jobs are handed in.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":60,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":4,\"slackFactor\":1.6}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\
         \"tls\":false,\"enforceCapacity\":true,\"standby\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// The daemons of one zone, as the platform probes them once a second. After two misses a daemon gets no new
/// connections until it answers 200 again. If fewer than half are in rotation, all are used.
pub struct Rotation {
    daemons: Mutex<Vec<(SocketAddr, SocketAddr, u32)>>,
}

impl Rotation {
    /// Starts to probe the daemons, each given by its addresses for clients and for probes.
    pub fn start(daemons: Vec<(SocketAddr, SocketAddr)>) -> Arc<Rotation> {
        let daemons = daemons.into_iter().map(|(frontend, probe)| (frontend, probe, 0));
        let rotation = Arc::new(Rotation {
            daemons: Mutex::new(daemons.collect()),
        });
        let prober = Arc::clone(&rotation);
        thread::spawn(move || {
            loop {
                let probes: Vec<SocketAddr> = prober.daemons.lock().unwrap().iter().map(|d| d.1).collect();
                for (number, probe) in probes.into_iter().enumerate() {
                    let is_ready = cluster::is_ready(probe);
                    let misses = &mut prober.daemons.lock().unwrap()[number].2;
                    *misses = if is_ready { 0 } else { *misses + 1 };
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
        rotation
    }

    /// Returns the daemon for a new connection of the client with the hash `client`.
    pub fn pick(&self, client: usize) -> SocketAddr {
        let daemons = self.daemons.lock().unwrap();
        let in_rotation: Vec<SocketAddr> = daemons.iter().filter(|d| d.2 < 2).map(|d| d.0).collect();
        if in_rotation.len() * 2 < daemons.len() {
            return daemons[client % daemons.len()].0;
        }
        in_rotation[client % in_rotation.len()]
    }
}

/// Starts `count` clients, each of which hands in one job after the other until `is_over`.
pub fn start_clients<M>(
    count: usize,
    rotation: &Arc<Rotation>,
    record: &Arc<Record>,
    is_over: &Arc<AtomicBool>,
    make_job: M,
) -> Vec<thread::JoinHandle<()>>
where
    M: Fn(usize) -> Job + Clone + Send + 'static,
{
    let mut threads = Vec::new();
    for client in 0..count {
        let (rotation, record, is_over) = (Arc::clone(rotation), Arc::clone(record), Arc::clone(is_over));
        let make_job = make_job.clone();
        threads.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let status = make_job(client).submit(rotation.pick(client), &record);
                let pause_ms = if status == 200 { 5 } else { 250 };
                thread::sleep(Duration::from_millis(pause_ms));
            }
        }));
    }
    threads
}
