use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use eyre::WrapErr;
use kqr_dispatch::{Input, Options};
use kqr_fleet::EntryInfo;
use kqr_telemetry::Metrics;
use kqr_types::{Incarnation, InstanceId};
use tokio::net::TcpListener;

use super::{EntrySettings, Shell, TargetPort, control_link::ControlLink, sibling_service};

/// Time between two ticks of the dispatcher: a fraction of the shortest of its times.
const TICK: Duration = Duration::from_millis(15);
/// Part of the longest lease that is used: a lost poll must not end it, and the tasks of a lost owner must end soon.
const LEASE_PART: f64 = 0.7;

/// A running entry.
#[derive(Debug)]
pub struct Entry<Port>
where
    Port: TargetPort,
{
    shell: Arc<Shell<Port>>,
    seeds: Arc<Mutex<Vec<InstanceId>>>,
}

impl<Port> Entry<Port>
where
    Port: TargetPort,
{
    /// Opens the listener for siblings and begins to exchange with control.
    ///
    /// # Errors
    ///
    /// Fails if the settings contradict each other, or a listener can't be opened.
    pub async fn start(settings: &EntrySettings, port: Port) -> eyre::Result<Self> {
        settings.check()?;
        let siblings = settings.siblings();
        let bound = settings.bound_to(siblings);
        let listener = TcpListener::bind(bound).await;
        let listener = listener.wrap_err_with(|| format!("opening the listener {bound}"))?;
        let own = EntryInfo {
            id: settings.name.clone(),
            incarnation: new_incarnation(),
            data_centre: settings.data_centre.clone(),
            siblings,
            reports: settings.reports(),
            weight: settings.weight(),
            is_leaving: false,
        };
        let options = Options {
            lease: Duration::from_millis(settings.max_lease_ms).mul_f64(LEASE_PART),
            ..Options::default()
        };
        let fields = [("incarnation", own.incarnation.to_string())];
        kqr_telemetry::log_decision("entry-started", &fields);
        let shell = Arc::new(Shell::new(own, options, port, Metrics::new()?));
        let seeds = Arc::new(Mutex::new(settings.seed_identities()?));
        tokio::spawn(sibling_service::serve(listener, Arc::clone(&shell)));
        tokio::spawn(tick(Arc::clone(&shell)));
        tokio::spawn(ControlLink::new(Arc::clone(&shell), Arc::clone(&seeds)).run());
        Ok(Self { shell, seeds })
    }

    /// Returns the shell, for the adapters of callers and targets.
    pub fn shell(&self) -> Arc<Shell<Port>> {
        Arc::clone(&self.shell)
    }

    /// Takes changed settings as far as a running process can.
    ///
    /// # Errors
    ///
    /// Fails if the settings contradict each other; the former ones stay in force.
    pub fn reload(&self, settings: &EntrySettings) -> eyre::Result<()> {
        settings.check()?;
        *self.seeds.lock().unwrap_or_else(PoisonError::into_inner) = settings.seed_identities()?;
        Ok(())
    }

    /// Begins to shut down: open jobs go on for `time_left`, targets are given back.
    pub fn leave(&self, time_left: Duration) {
        let fields = [("time_left_ms", time_left.as_millis().to_string())];
        kqr_telemetry::log_decision("entry-leaving", &fields);
        self.shell.leave(time_left);
    }

    /// Returns whether nothing is left to be done: no job, no run, and all targets have been given back.
    pub fn is_idle(&self) -> bool {
        let machine = self.shell.machine();
        machine.is_idle() && machine.owned_targets() == 0
    }
}

async fn tick<Port>(shell: Arc<Shell<Port>>)
where
    Port: TargetPort,
{
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shell.handle(Input::Tick);
    }
}

/// Returns a number that rises from start to start of a process. The time of day may be wrong, but rarely runs back by
/// more than a process takes to start.
fn new_incarnation() -> Incarnation {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(unix.unwrap_or_default().as_millis() as u64)
}
