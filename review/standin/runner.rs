//! A runner of the users' platform, as PROTOCOL.md describes it: runs under leases, ends with numbers, fencing tokens,
//! and heartbeats. The spec of a task is its run time in milliseconds.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{self, Request, Server},
    json::{self, Value, quote},
    record::Record,
};

const HEARTBEAT: Duration = Duration::from_millis(1500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const HOLD_MAX_MS: u64 = 1000;
/// What a process that has ended answers: the server breaks the connection.
const NO_ANSWER: (u16, String) = (0, String::new());

/// What a runner is in one life.
#[derive(Clone)]
pub struct Kind {
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    start: Instant,
    work: Duration,
    cpu: u64,
}

/// One life of a runner.
struct Life {
    number: u32,
    born: u64,
    origin: Instant,
    kind: Kind,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    sequence: u64,
    is_draining: bool,
    server: Option<Server>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        5000 + self.origin.elapsed().as_millis() as u64
    }
}

/// What the stand-in reports to the case's check.
pub enum Event<'a> {
    /// A run has begun in life `life`.
    Start {
        at_ms: u64,
        runner: &'a str,
        life: u32,
        task: &'a str,
        token: u64,
        labels: &'a [String],
    },
    /// A heartbeat that says `draining` was acknowledged.
    DrainingAcknowledged { at_ms: u64 },
    /// A run has ended.
    End { runner: &'a str, task: &'a str },
}

type Observer = dyn Fn(Event) + Send + Sync;

pub struct Runner {
    pub id: String,
    addr: SocketAddr,
    zone: String,
    service: String,
    control_plane: Vec<SocketAddr>,
    record: Arc<Record>,
    observer: Arc<Observer>,
    /// Processor needs of each task, which the stand-in knows from the jobs that the clients send.
    cpu_of_task: u64,
    life: Mutex<Option<Life>>,
    /// Address for the next heartbeats of the current life.
    heartbeat_addr: Mutex<Option<SocketAddr>>,
    lives: Mutex<u32>,
    /// Percentage of the orders (starts and stops) that get no answer and are carried out 2 to 12 s later.
    late_percent: AtomicU32,
    /// Number that the next draw is made from.
    draws: AtomicU64,
}

pub struct RunnerOptions {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub service: String,
    pub control_plane: Vec<SocketAddr>,
    pub cpu_of_task: u64,
}

impl Runner {
    pub fn new(options: RunnerOptions, record: Arc<Record>, observer: Arc<Observer>) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: options.id,
            addr: options.addr,
            zone: options.zone,
            service: options.service,
            control_plane: options.control_plane,
            cpu_of_task: options.cpu_of_task,
            record,
            observer,
            life: Mutex::new(None),
            heartbeat_addr: Mutex::new(None),
            lives: Mutex::new(0),
            late_percent: AtomicU32::new(0),
            draws: AtomicU64::new(options.addr.to_string().bytes().map(u64::from).sum()),
        });
        let ticker = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                ticker.advance();
                thread::sleep(Duration::from_millis(4));
            }
        });
        runner
    }

    /// Starts a life, which listens at the runner's address and sends its first heartbeat at once.
    pub fn start(self: &Arc<Self>, kind: Kind) -> std::io::Result<()> {
        let number = {
            let mut lives = self.lives.lock().unwrap();
            *lives += 1;
            *lives
        };
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let life = Life {
            number,
            born: unix.unwrap_or_default().as_millis() as u64,
            origin: Instant::now(),
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            sequence: 0,
            is_draining: false,
            server: None,
            kind,
        };
        self.record.line(&format!(
            "runner {} begins life {number} at {}, labels {:?}, cpu {}",
            self.id, self.addr, life.kind.labels, life.kind.cpu
        ));
        *self.heartbeat_addr.lock().unwrap() = None;
        *self.life.lock().unwrap() = Some(life);
        let handler = Arc::clone(self);
        let server = Server::start(self.addr, move |req| handler.handle(number, req))?;
        if let Some(life) = &mut *self.life.lock().unwrap() {
            life.server = Some(server);
        }
        let beater = Arc::clone(self);
        thread::spawn(move || beater.send_heartbeats(number));
        Ok(())
    }

    /// Ends the life like a crash: all that runs there ends, and nothing is sent.
    pub fn crash(&self) {
        let Some(mut life) = self.life.lock().unwrap().take() else {
            return;
        };
        self.record
            .line(&format!("runner {} crashes, life {}", self.id, life.number));
        for (task, _) in life.running.keys() {
            self.report_end(task, "crashed");
        }
        if let Some(server) = life.server.take() {
            server.close();
        }
    }

    /// Says `draining` from now on, at once and with each heartbeat.
    pub fn drain(&self) {
        if let Some(life) = &mut *self.life.lock().unwrap() {
            life.is_draining = true;
        }
        self.record.line(&format!("runner {} decides to leave", self.id));
        self.send_heartbeat();
    }

    /// Deregisters and ends.
    pub fn leave(&self) {
        let born = self.life.lock().unwrap().as_ref().map_or(0, |life| life.born);
        let path = format!("/kumquatroad/instances/{}/deregister", self.id);
        for addr in self.heartbeat_addrs() {
            let body = format!("{{\"born\":{born}}}");
            if http::call(addr, "POST", &path, &[], &body, HEARTBEAT_TIMEOUT).is_ok_and(|a| a.status < 300) {
                self.record
                    .line(&format!("runner {} has deregistered at {addr}", self.id));
                break;
            }
        }
        self.crash();
    }

    /// Returns the address at which the next heartbeat is sent, if the system has named one.
    pub fn heartbeat_addr(&self) -> Option<SocketAddr> {
        *self.heartbeat_addr.lock().unwrap()
    }

    /// Returns the number of tasks that run.
    pub fn running_count(&self) -> usize {
        self.life
            .lock()
            .unwrap()
            .as_ref()
            .map_or(0, |life| life.running.len())
    }

    fn heartbeat_addrs(&self) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> = self.heartbeat_addr().into_iter().collect();
        let first = self.record.now_ms() as usize % self.control_plane.len();
        for turn in 0..self.control_plane.len() {
            addrs.push(self.control_plane[(first + turn) % self.control_plane.len()]);
        }
        addrs
    }

    fn send_heartbeats(&self, number: u32) {
        loop {
            if self.life.lock().unwrap().as_ref().map(|life| life.number) != Some(number) {
                return;
            }
            self.send_heartbeat();
            thread::sleep(HEARTBEAT);
        }
    }

    /// Sends a heartbeat to the named address, and to other daemons until one acknowledges it.
    fn send_heartbeat(&self) {
        let Some((body, is_draining)) = self.heartbeat_body() else {
            return;
        };
        let path = format!("/kumquatroad/instances/{}/heartbeat", self.id);
        for addr in self.heartbeat_addrs() {
            let answer = http::call(addr, "POST", &path, &[], &body, HEARTBEAT_TIMEOUT);
            let Some(answer) = answer.ok().filter(|answer| (200..300).contains(&answer.status)) else {
                self.record.line(&format!(
                    "heartbeat of {} to {addr} has no acknowledgement",
                    self.id
                ));
                *self.heartbeat_addr.lock().unwrap() = None;
                continue;
            };
            let named = json::parse(&answer.body).unwrap_or(Value::Null);
            if let Ok(named) = named.get("heartbeatAddr").text().parse() {
                *self.heartbeat_addr.lock().unwrap() = Some(named);
            }
            if self.is_first_heartbeat(&body) {
                self.record.line(&format!(
                    "{addr} acknowledges the first heartbeat of this life of {}",
                    self.id
                ));
            }
            if is_draining {
                let at_ms = self
                    .record
                    .line(&format!("{addr} acknowledges that {} is draining", self.id));
                (self.observer)(Event::DrainingAcknowledged { at_ms });
            }
            return;
        }
    }

    fn is_first_heartbeat(&self, body: &str) -> bool {
        body.contains("\"seq\":1,")
    }

    fn heartbeat_body(&self) -> Option<(String, bool)> {
        let mut life = self.life.lock().unwrap();
        let life = life.as_mut()?;
        life.sequence += 1;
        let state = if life.is_draining { "draining" } else { "ready" };
        let labels: Vec<String> = life.kind.labels.iter().map(|label| quote(label)).collect();
        let remaining = if life.is_draining {
            ",\"remainingMs\":1000"
        } else {
            ""
        };
        let body = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
             \"coldRemainingMs\":0{remaining},\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"labels\":[{}],\
             \"clockMs\":{},\"seq\":{},\"born\":{}}}",
            quote(&self.service),
            self.addr,
            quote(&self.zone),
            life.kind.cpu,
            life.kind.mem_mb,
            labels.join(","),
            life.clock_ms(),
            life.sequence,
            life.born
        );
        Some((body, life.is_draining))
    }

    fn report_end(&self, task: &str, how: &'static str) {
        self.record
            .line(&format!("runner {} ends {task}: {how}", self.id));
        (self.observer)(Event::End {
            runner: &self.id,
            task,
        });
    }

    /// Ends the runs that are done, and all runs if their lease has expired.
    fn advance(&self) {
        if let Some(life) = &mut *self.life.lock().unwrap() {
            self.advance_life(life);
        }
    }

    fn advance_life(&self, life: &mut Life) {
        let is_lapsed = life.clock_ms() >= life.lease_until_ms;
        let mut ended = Vec::new();
        for (run, state) in &life.running {
            if state.start.elapsed() >= state.work {
                ended.push((run.clone(), "done"));
            } else if is_lapsed {
                ended.push((run.clone(), "lapsed"));
            }
        }
        for (run, how) in ended {
            self.end_run(life, &run, how);
        }
    }

    fn end_run(&self, life: &mut Life, run: &(String, u64), how: &'static str) {
        life.running.remove(run);
        life.ends += 1;
        life.finished.push((life.ends, run.0.clone(), run.1, how));
        close(life, run);
        self.report_end(&run.0, how);
    }

    /// Leaves this percentage of the orders unanswered from now on, and carries them out late.
    pub fn set_late_percent(&self, percent: u32) {
        self.late_percent.store(percent, Ordering::Relaxed);
    }

    /// Returns a pseudorandom number, from the output function of SplitMix64.
    fn draw(&self) -> u64 {
        let mut mixed = self.draws.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    fn handle(self: &Arc<Self>, number: u32, req: Request) -> (u16, String) {
        let is_order = req.path.ends_with("/run-start") || req.path.ends_with("/run-stop");
        let is_late = self.draw() % 100 < u64::from(self.late_percent.load(Ordering::Relaxed));
        if !is_order || !is_late {
            return self.carry_out(number, req);
        }
        let delay = Duration::from_millis(2000 + self.draw() % 10_000);
        self.record.line(&format!(
            "runner {} leaves an order unanswered for {delay:?}: {} {}",
            self.id,
            req.path,
            String::from_utf8_lossy(&req.body)
        ));
        let runner = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(delay);
            runner.carry_out(number, req);
        });
        // The caller has given up long before.
        thread::sleep(Duration::from_secs(2));
        NO_ANSWER
    }

    fn carry_out(&self, number: u32, req: Request) -> (u16, String) {
        if req.method == "GET" {
            return (200, "{}".to_owned());
        }
        if req
            .headers
            .get("kumquatroad-expected-instance")
            .is_some_and(|id| *id != self.id)
        {
            return (421, "{}".to_owned());
        }
        let body = json::parse(&req.body).unwrap_or(Value::Null);
        {
            let mut life = self.life.lock().unwrap();
            let Some(life) = life.as_mut().filter(|life| life.number == number) else {
                return NO_ANSWER;
            };
            self.advance_life(life);
            let token = body.get("fencingToken").number().unwrap_or(0);
            if token < life.token {
                return refusal(life, "fence");
            }
            life.token = token;
            match req.path.as_str() {
                "/kumquatroad/run-start" => return self.start_run(life, &body),
                "/kumquatroad/run-stop" => {
                    let run = decode_run(&body);
                    close(life, &run);
                    if life.running.contains_key(&run) {
                        self.end_run(life, &run, "stopped");
                    }
                    return (200, format!("{{\"clockMs\":{}}}", life.clock_ms()));
                }
                _ => {
                    if let Some(until) = body.get("deadlineMs").number() {
                        extend(life, until);
                    }
                    let cursor = body.get("ackCursor").number().unwrap_or(0);
                    life.finished.retain(|(number, ..)| *number > cursor);
                }
            }
        }
        self.wait_for_end(
            number,
            Duration::from_millis(body.get("waitMs").number().unwrap_or(0)),
        )
    }

    fn start_run(&self, life: &mut Life, body: &Value) -> (u16, String) {
        let run = decode_run(body);
        let until = body.get("deadlineMs").number().unwrap_or(0);
        if life.running.contains_key(&run) {
            return (200, format!("{{\"clockMs\":{}}}", life.clock_ms()));
        }
        if until <= life.clock_ms() {
            return refusal(life, "late");
        }
        extend(life, until);
        if life.closed.get(&run.0).is_some_and(|closed| run.1 <= *closed) {
            return refusal(life, "old");
        }
        let used: u64 = life.running.values().map(|run| run.cpu).sum();
        if used + self.cpu_of_task > life.kind.cpu {
            return refusal(life, "room");
        }
        let work = Duration::from_millis(body.get("spec").text().parse().unwrap_or(100));
        let at_ms = self.record.line(&format!(
            "runner {} (life {}, labels {:?}) starts {} run {}, token {}",
            self.id, life.number, life.kind.labels, run.0, run.1, life.token
        ));
        (self.observer)(Event::Start {
            at_ms,
            runner: &self.id,
            life: life.number,
            task: &run.0,
            token: life.token,
            labels: &life.kind.labels,
        });
        let cpu = self.cpu_of_task;
        let start = Instant::now();
        life.running.insert(run, Run { start, work, cpu });
        (200, format!("{{\"clockMs\":{}}}", life.clock_ms()))
    }

    /// Answers a hold, at the latest after `wait`, or as soon as there is an end to list.
    fn wait_for_end(&self, number: u32, wait: Duration) -> (u16, String) {
        let start = Instant::now();
        loop {
            {
                let mut life = self.life.lock().unwrap();
                let Some(life) = life.as_mut().filter(|life| life.number == number) else {
                    return NO_ANSWER;
                };
                self.advance_life(life);
                if !life.finished.is_empty() || start.elapsed() >= wait {
                    return (200, lists(life));
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }
}

fn lists(life: &Life) -> String {
    let mut running = Vec::new();
    for ((task, number), run) in &life.running {
        let percent = run.start.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
        running.push(format!(
            "[{},{number},\"\",{},{}]",
            quote(task),
            percent.min(99),
            run.cpu
        ));
    }
    let mut finished = Vec::new();
    for (end, task, number, how) in life.finished.iter().take(500) {
        finished.push(format!("[{end},{},{number},\"{how}\",\"\"]", quote(task)));
    }
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock_ms(),
        life.born,
        running.join(","),
        finished.join(",")
    )
}

fn decode_run(body: &Value) -> (String, u64) {
    (
        body.get("task").text().to_owned(),
        body.get("attempt").number().unwrap_or(0),
    )
}

fn close(life: &mut Life, run: &(String, u64)) {
    let closed = life.closed.entry(run.0.clone()).or_default();
    *closed = (*closed).max(run.1);
}

fn extend(life: &mut Life, until_ms: u64) {
    let until_ms = until_ms.min(life.clock_ms() + HOLD_MAX_MS);
    life.lease_until_ms = life.lease_until_ms.max(until_ms);
}

fn refusal(life: &Life, reason: &str) -> (u16, String) {
    (
        409,
        format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", life.clock_ms()),
    )
}
