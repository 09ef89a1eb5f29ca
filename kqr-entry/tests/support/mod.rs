//! A small system in the test process: entries and stand-ins on loopback ports.
#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod partition_proxy;
mod ports;
pub mod processes;
pub mod silent_proxy;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use clap::Parser;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use kqr_entry::{Limits, Running};
use kqr_http::{Client, ClientOptions};
use kqr_jobs::home_order;
use kqr_settings::bootstrap::Bootstrap;
use kqr_telemetry::EventLog;
use kqr_tls::TransportSecurity;
use kqr_types::{CellMember, CellView, Epoch, Incarnation, KeyDigest, MemberState};
use kqr_wire::callers::{JobAnswerBody, ProblemBody};
use partition_proxy::PartitionProxy;
use ports::free_address;

/// Timeout of one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Addresses of the listeners of one entry.
pub struct Addresses {
    pub callers: SocketAddr,
    pub targets: SocketAddr,
}

/// Entries and stand-ins.
pub struct System {
    pub bootstrap: Bootstrap,
    pub addresses: Vec<Addresses>,
    pub entries: Vec<Option<Running>>,
    pub standins: Vec<kqr_standin::Running>,
    pub client: Client,
    pub cold_start_window: Duration,
    pub suspicion: Duration,
    /// Security of each entry's connections to the others; an entry that is missing here uses plain
    /// connections.
    pub securities: Vec<TransportSecurity>,
}

/// An HTTP response with its whole body.
pub struct Reply {
    pub status: StatusCode,
    pub bytes: Bytes,
}

impl Reply {
    pub fn answer(&self) -> JobAnswerBody {
        serde_json::from_slice(&self.bytes).unwrap_or_else(|_| panic!("not an answer: {}", self.text()))
    }

    pub fn problem(&self) -> ProblemBody {
        serde_json::from_slice(&self.bytes).unwrap_or_else(|_| panic!("not a problem: {}", self.text()))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }
}

impl System {
    /// Prepares one entry for each name in `data_centres`, and starts none.
    pub fn prepare(data_centres: &[&str]) -> Self {
        let (yaml, addresses) = bootstrap_yaml(data_centres);
        let bootstrap = Bootstrap::parse("test", &yaml).unwrap();
        Self {
            bootstrap,
            addresses,
            entries: Vec::new(),
            standins: Vec::new(),
            client: Client::new(ClientOptions::default()),
            cold_start_window: Duration::ZERO,
            suspicion: Duration::from_millis(500),
            securities: Vec::new(),
        }
    }

    /// Starts one entry for each name in `data_centres`.
    pub async fn start(data_centres: &[&str]) -> Self {
        let mut system = Self::prepare(data_centres);
        for index in 0..data_centres.len() {
            let entry = system.start_entry(index).await;
            system.entries.push(Some(entry));
        }
        for index in 0..data_centres.len() {
            system.wait_until_ready(index).await;
        }
        system
    }

    /// Starts one entry for each name in `data_centres`. All connections between entry 0 and the others go
    /// through the returned proxies.
    pub async fn start_with_partition_proxies(data_centres: &[&str]) -> (Self, Vec<PartitionProxy>) {
        let mut system = Self::prepare(data_centres);
        let plain = system.bootstrap.clone();
        let mut proxies = Vec::new();
        for index in 0..data_centres.len() {
            system.bootstrap = plain.clone();
            for peer in 0..data_centres.len() {
                if peer == index || (peer != 0 && index != 0) {
                    continue;
                }
                let proxy = PartitionProxy::start(plain.instances[peer].peers).await;
                system.bootstrap.instances[peer].peers = proxy.address;
                proxies.push(proxy);
            }
            let entry = system.start_entry(index).await;
            system.entries.push(Some(entry));
        }
        for index in 0..data_centres.len() {
            system.wait_until_ready(index).await;
        }
        system.bootstrap = plain;
        (system, proxies)
    }

    /// Starts the entry with `index`.
    pub async fn start_entry(&self, index: usize) -> Running {
        self.launch(index).await
    }

    /// Returns a future that starts the entry with `index`, on any runtime.
    pub fn launch(&self, index: usize) -> impl Future<Output = Running> + Send + use<> {
        let bootstrap = self.bootstrap.clone();
        let own = bootstrap.instances[index].clone();
        let security = self
            .securities
            .get(index)
            .cloned()
            .unwrap_or(TransportSecurity::Plain);
        let limits = Limits {
            drain_delay: Duration::from_millis(300),
            grace: Duration::from_secs(10),
            cold_start_window: self.cold_start_window,
            outcome_retention: Duration::from_secs(3600),
            suspicion: self.suspicion,
        };
        async move {
            let events = EventLog::disabled(own.id.clone());
            Running::start(&bootstrap, own, events, limits, security)
                .await
                .unwrap()
        }
    }

    /// Waits until the cell has admitted the entry with `index`.
    pub async fn wait_until_ready(&self, index: usize) {
        for _ in 0..1200 {
            let reply = self.send(index, Method::GET, "/readyz", &[], "").await;
            if reply.status.is_success() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("entry {index} did not become ready");
    }

    /// Starts a stand-in that announces itself to the entry with `index`, and waits until slots of it are
    /// leased there. `more` are further arguments of the stand-in.
    pub async fn add_standin(&mut self, index: usize, id: &str, more: &[&str]) {
        let before = self.shared_slots(index).await;
        let target = self.addresses[index].targets.to_string();
        let mut args = vec![
            "kqr-standin",
            "--id",
            id,
            "--service",
            "press",
            "--entry",
            &target,
        ];
        args.extend(more);
        let options = kqr_standin::Options::parse_from(args);
        self.standins
            .push(kqr_standin::Running::start(options).await.unwrap());
        for _ in 0..1200 {
            if self.shared_slots(index).await > before {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no slots of {id} were leased to entry {index}");
    }

    /// Waits until slots are leased to each entry.
    pub async fn wait_for_slots_everywhere(&self) {
        for index in 0..self.entries.len() {
            for _ in 0..1200 {
                if self.shared_slots(index).await > 0 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            assert!(
                self.shared_slots(index).await > 0,
                "no slots were leased to entry {index}"
            );
        }
    }

    /// Returns the number of slots that are leased to the entry with `index`.
    async fn shared_slots(&self, index: usize) -> u64 {
        self.metric(index, "kqr_shared_slots").await
    }

    /// Returns the first value of a metric of the entry with `index`, or 0 if there is none.
    pub async fn metric(&self, index: usize, name: &str) -> u64 {
        metric(&self.client, self.addresses[index].callers, name).await
    }

    /// Sends one request to the entry with `index`.
    pub async fn send(
        &self,
        index: usize,
        method: Method,
        path: &str,
        fields: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let uri = format!("http://{}{path}", self.addresses[index].callers);
        let mut builder = Request::builder().method(method).uri(uri);
        for (name, value) in fields {
            builder = builder.header(*name, *value);
        }
        let req = builder.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        let (status, bytes) = self.client.send_and_read(req, EXCHANGE_TIMEOUT).await.unwrap();
        Reply { status, bytes }
    }

    /// Submits a job with tasks of the given run times.
    pub async fn submit(&self, index: usize, key: &str, run_ms: &[u64]) -> Reply {
        self.send(
            index,
            Method::POST,
            "/v1/jobs",
            &[("idempotency-key", key)],
            &job(run_ms),
        )
        .await
    }

    /// Returns the number of starts at all stand-ins, and of those beyond the first start of a task.
    pub fn starts(&self) -> (usize, usize) {
        count_starts(&self.standins)
    }
}

/// Returns the number of starts at all stand-ins, and of those beyond the first start of a task.
pub fn count_starts(standins: &[kqr_standin::Running]) -> (usize, usize) {
    let mut tasks = std::collections::BTreeSet::new();
    let mut starts = 0;
    for standin in standins {
        for attempt in standin.standin.starts().attempts {
            let task = attempt.rsplit_once('-').unwrap().0.to_owned();
            tasks.insert(task);
            starts += 1;
        }
    }
    (starts, starts - tasks.len())
}

/// Returns the first value of a metric, or 0 if there is none. The metric is matched by the prefix `name`,
/// which may include labels.
pub async fn metric(client: &Client, callers: SocketAddr, name: &str) -> u64 {
    let uri = format!("http://{callers}/metrics").parse().unwrap();
    let (_, bytes) = client
        .send_json::<()>(Method::GET, uri, None, EXCHANGE_TIMEOUT)
        .await
        .unwrap();
    let text = String::from_utf8_lossy(&bytes);
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Returns a key whose home is the entry with `index` while `members` entries, from `entry-0` on, form a
/// cell.
pub fn key_homed_at(index: usize, members: usize, prefix: &str) -> String {
    let member = |number: usize| CellMember {
        id: format!("entry-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        weight: 1,
        state: MemberState::Full,
    };
    let view = CellView {
        epoch: Epoch(1),
        members: (0..members).map(member).collect(),
    };
    for number in 0.. {
        let key = format!("{prefix}-{number}");
        let home = home_order(&view, KeyDigest::of(&key.parse().unwrap()))[0];
        if home.id.as_str() == format!("entry-{index}") {
            return key;
        }
    }
    unreachable!("each entry is the home of some key")
}

/// Returns a bootstrap file with one entry for each name in `data_centres`, and the addresses of the entries'
/// listeners.
pub fn bootstrap_yaml(data_centres: &[&str]) -> (String, Vec<Addresses>) {
    let mut lines = vec!["data_centres:".to_owned()];
    let names: std::collections::BTreeSet<&&str> = data_centres.iter().collect();
    for name in names {
        lines.push(format!("  - {{ name: {name}, region: test }}"));
    }
    lines.push("instances:".to_owned());
    let mut addresses = Vec::new();
    for (index, data_centre) in data_centres.iter().enumerate() {
        let own = Addresses {
            callers: free_address(),
            targets: free_address(),
        };
        lines.push(format!("  - id: entry-{index}"));
        lines.push("    role: entry".to_owned());
        lines.push(format!("    data_centre: {data_centre}"));
        lines.push(format!("    peers: {}", free_address()));
        lines.push(format!("    callers: {}", own.callers));
        lines.push(format!("    targets: {}", own.targets));
        addresses.push(own);
    }
    (lines.join("\n"), addresses)
}

/// Returns the body of a job with tasks of the given run times.
pub fn job(run_ms: &[u64]) -> String {
    let mut tasks = Vec::new();
    for (index, run_ms) in run_ms.iter().enumerate() {
        let payload = format!("{{\\\"run_ms\\\":{run_ms},\\\"echo\\\":\\\"e{index}\\\"}}");
        tasks.push(format!(
            "{{\"class\":\"proof\",\"payload\":\"{payload}\",\"run_time_ms\":{run_ms}}}"
        ));
    }
    format!("{{\"service\":\"press\",\"tasks\":[{}]}}", tasks.join(","))
}
