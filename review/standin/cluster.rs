//! The project's programs as processes on loopback addresses, one address for each machine.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const FRONTEND_PORT: u16 = 0;
const READINESS_PORT: u16 = 1;
const CONTROL_PORT: u16 = 2;
const FIRST_INTERNAL_PORT: u16 = 3;
const LAST_INTERNAL_PORT: u16 = 18;
/// Port of the runners.
const RUNNER_PORT: u16 = 19;

/// Settings that differ between deployments, as in the small site files.
#[derive(Clone)]
pub struct Deployment {
    /// Zone of each frontend machine.
    pub entries: Vec<&'static str>,
    /// Zone of each core machine.
    pub controls: Vec<&'static str>,
    pub cpu_share: f64,
    pub max_lease_ms: u64,
    pub grace_s: u64,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Class {
    Entry,
    Control,
}

pub struct Machine {
    pub name: String,
    pub class: Class,
    pub zone: &'static str,
    pub ip: IpAddr,
    child: Option<Child>,
    starts: u32,
}

pub struct Cluster {
    pub deployment: Deployment,
    pub machines: Vec<Machine>,
    pub record: Arc<Record>,
    net: u8,
    base: u16,
    folder: PathBuf,
}

impl Cluster {
    /// Chooses a free loopback network and starts all machines.
    pub fn start(deployment: Deployment, record: Arc<Record>) -> io::Result<Cluster> {
        let (net, base) = free_net().ok_or_else(|| io::Error::other("no free ports"))?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut machines = Vec::new();
        for (number, zone) in deployment.controls.iter().enumerate() {
            machines.push(machine(
                net,
                format!("core-{number}"),
                Class::Control,
                zone,
                number,
            ));
        }
        for (number, zone) in deployment.entries.iter().enumerate() {
            machines.push(machine(
                net,
                format!("front-{number}"),
                Class::Entry,
                zone,
                number,
            ));
        }
        let mut cluster = Cluster {
            deployment,
            machines,
            record,
            net,
            base,
            folder,
        };
        for number in 0..cluster.machines.len() {
            cluster.launch(number)?;
        }
        Ok(cluster)
    }

    pub fn frontend(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.machines[number].ip, self.base + FRONTEND_PORT)
    }

    pub fn readiness(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.machines[number].ip, self.base + READINESS_PORT)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.machines[number].ip, self.base + CONTROL_PORT)
    }

    /// Returns the addresses of all daemons that serve `control_plane`.
    pub fn control_plane(&self) -> Vec<SocketAddr> {
        (0..self.machines.len())
            .map(|number| self.control(number))
            .collect()
    }

    /// Returns the address of a runner.
    pub fn runner(&self, number: usize) -> SocketAddr {
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.net, 100, 1 + number as u8));
        SocketAddr::new(ip, self.base + RUNNER_PORT)
    }

    /// Returns the machine with the address `addr`.
    pub fn machine_at(&self, addr: IpAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.ip == addr)
    }

    /// Starts the program of a machine with the command of the deploy file.
    pub fn launch(&mut self, number: usize) -> io::Result<()> {
        let settings = self.render_settings(number)?;
        let machine = &mut self.machines[number];
        let path = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(&path, settings)?;
        let log = self
            .folder
            .join(format!("{}-{}.log", machine.name, machine.starts));
        let program = match machine.class {
            Class::Entry => "target/release/kumquatroad-entry",
            Class::Control => "target/release/kumquatroad-control",
        };
        let child = Command::new(program)
            .env_clear()
            .env("KUMQUATROAD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(File::create(log.with_extension("err"))?)
            .spawn()?;
        machine.starts += 1;
        self.record.line(&format!(
            "platform starts {} ({}, {}), process {}",
            machine.name,
            machine.ip,
            machine.zone,
            child.id()
        ));
        machine.child = Some(child);
        Ok(())
    }

    pub fn signal(&mut self, number: usize, signal: i32, name: &str) {
        let machine = &mut self.machines[number];
        if let Some(child) = &machine.child {
            self.record
                .line(&format!("platform sends {name} to {}", machine.name));
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process of a machine has ended. Returns `false` if it runs on after `limit`.
    pub fn wait(&mut self, number: usize, limit: Duration) -> bool {
        let start = Instant::now();
        let machine = &mut self.machines[number];
        while let Some(child) = &mut machine.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                machine.child = None;
                self.record
                    .line(&format!("the process of {} has ended", machine.name));
                return true;
            }
            if start.elapsed() > limit {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Stops a machine as the platform does: SIGTERM, and SIGKILL after `graceS`.
    pub fn stop(&mut self, number: usize) {
        self.signal(number, SIGTERM, "SIGTERM");
        let grace = Duration::from_secs(self.deployment.grace_s);
        if !self.wait(number, grace) {
            self.signal(number, SIGKILL, "SIGKILL");
            self.wait(number, grace);
        }
    }

    /// Returns the core machine that was elected last, by the programs' logs. It only serves to choose whom to stop.
    pub fn leader(&self) -> Option<usize> {
        let mut newest = None;
        for (number, machine) in self.machines.iter().enumerate() {
            if machine.class != Class::Control || machine.starts == 0 {
                continue;
            }
            let log = self
                .folder
                .join(format!("{}-{}.log", machine.name, machine.starts - 1));
            let text = fs::read_to_string(log).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains("\"Leader\"")) {
                let term = line
                    .split("\"term\":\"")
                    .nth(1)
                    .and_then(|rest| rest.split('"').next());
                let term: u64 = term.and_then(|term| term.parse().ok()).unwrap_or(0);
                newest = newest.max(Some((term, number)));
            }
        }
        newest.map(|(_, number)| number)
    }

    /// Sends a configuration until an instance acknowledges it. The operator picks another one after a failure.
    pub fn send_configuration(&self, body: &str, limit: Duration) -> bool {
        let start = Instant::now();
        let addrs = self.control_plane();
        for turn in 0.. {
            let addr = addrs[turn % addrs.len()];
            let path = "/kumquatroad/config/replace";
            let answer = http::call(addr, "POST", path, &[], body, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status == 200) {
                self.record
                    .line(&format!("{addr} acknowledges the configuration"));
                return true;
            }
            if start.elapsed() > limit {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes that are left and removes the folder.
    pub fn close(mut self) {
        for number in 0..self.machines.len() {
            if self.machines[number].child.is_some() {
                self.signal(number, SIGCONT, "SIGCONT");
                self.signal(number, SIGKILL, "SIGKILL at the end");
                self.wait(number, Duration::from_secs(3));
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are kept in {}", self.folder.display());
        }
    }

    /// Fills in the template of the machine's role as `deploy/system.toml` names it.
    fn render_settings(&self, number: usize) -> io::Result<String> {
        let machine = &self.machines[number];
        let template = match machine.class {
            Class::Entry => "deploy/entry.yaml",
            Class::Control => "deploy/control.yaml",
        };
        let mut text = fs::read_to_string(Path::new(template))?;
        let seeds: Vec<String> = (0..3).map(|seed| format!("\"{}\"", self.control(seed))).collect();
        text = text.replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", &seeds.join(","));
        let values = [
            ("nodeName", machine.name.clone()),
            ("ip", machine.ip.to_string()),
            ("zone", machine.zone.to_owned()),
            (
                "internalPortRange.0",
                (self.base + FIRST_INTERNAL_PORT).to_string(),
            ),
            ("listenAddrs.control", self.control(number).to_string()),
            ("listenAddrs.frontendAddr", self.frontend(number).to_string()),
            ("listenAddrs.readinessAddr", self.readiness(number).to_string()),
            (
                "dataDir",
                self.folder
                    .join(format!("{}-data", machine.name))
                    .display()
                    .to_string(),
            ),
            ("bootstrap", (machine.starts == 0).to_string()),
            ("faultTolerance.machines", "1".to_owned()),
            ("bounds.holdMaxMs", self.deployment.max_lease_ms.to_string()),
            ("bounds.graceS", self.deployment.grace_s.to_string()),
            ("limits.cpuShare", self.deployment.cpu_share.to_string()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(io::Error::other(format!("{template} has an unknown placeholder")));
        }
        Ok(text)
    }
}

fn machine(net: u8, name: String, class: Class, zone: &'static str, number: usize) -> Machine {
    let part = if class == Class::Control { 1 } else { 2 };
    Machine {
        name,
        class,
        zone,
        ip: IpAddr::V4(Ipv4Addr::new(127, net, part, 1 + number as u8)),
        child: None,
        starts: 0,
    }
}

/// Returns a loopback network and the first of twenty consecutive ports that are free there.
fn free_net() -> Option<(u8, u16)> {
    let seed = std::process::id();
    for attempt in 0..200_u32 {
        let net = 100 + ((seed + attempt) % 100) as u8;
        let base = 20_000 + ((seed.wrapping_mul(7) + attempt * 20) % 10_000) as u16;
        let any = IpAddr::V4(Ipv4Addr::new(127, net, 1, 1));
        let is_free = (base..=base + RUNNER_PORT).all(|port| TcpListener::bind((any, port)).is_ok());
        if is_free && base + LAST_INTERNAL_PORT > base {
            return Some((net, base));
        }
    }
    None
}

/// Returns whether a readiness probe is answered with 200.
pub fn is_ready(addr: SocketAddr) -> bool {
    let answer = http::call(
        addr,
        "GET",
        "/kumquatroad/readyz",
        &[],
        "",
        Duration::from_millis(900),
    );
    answer.is_ok_and(|answer| answer.status == 200)
}
