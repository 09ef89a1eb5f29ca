use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use kqr_jobs::Member;
use kqr_membership::{Cell, CellDurableState, CellMessage, Input, Options, Output, WallClock};
use kqr_telemetry::EventKind;
use kqr_types::{DataCentre, Epoch};
use kqr_wire::mail::Mail;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::{engine::Engine, outbox::Outbox, topology::RegionTopology};

/// This instance's driver in the cell of one data centre: as a member of its own, or as a witness of another one.
#[derive(Debug)]
struct CellDriver {
    data_centre: DataCentre,
    is_member: bool,
    cell: Mutex<Cell>,
    engine: Arc<Engine>,
    outbox: Arc<Outbox>,
}

/// All seats of this instance.
#[derive(Debug)]
pub struct CellDrivers {
    drivers: BTreeMap<DataCentre, CellDriver>,
    synced: watch::Receiver<Epoch>,
    reported: Mutex<Epoch>,
    left: watch::Sender<bool>,
}

impl CellDrivers {
    /// Takes the seats that `topology` names for `own`, which stands in the data centre `site`.
    pub fn new(
        own: &Member,
        site: &DataCentre,
        suspicion: Duration,
        topology: &RegionTopology,
        engine: &Arc<Engine>,
        outbox: &Arc<Outbox>,
    ) -> Self {
        let mut drivers = BTreeMap::new();
        for data_centre in topology.data_centres() {
            let voters = topology.cell_voters(data_centre);
            if !voters.contains(&own.id) {
                continue;
            }
            let is_member = data_centre == site;
            let mut options = Options::new(own.id.clone(), own.incarnation, voters).with_suspicion(suspicion);
            options.weight = is_member.then_some(1);
            options.wall_clock = wall_clock();
            options.seed = xxh3_64(own.id.as_str().as_bytes());
            // Entries keep no disk: each life is another voter, which the cell takes in anew.
            let cell = Mutex::new(Cell::new(options, CellDurableState::default()));
            let driver = CellDriver {
                data_centre: data_centre.clone(),
                is_member,
                cell,
                engine: Arc::clone(engine),
                outbox: Arc::clone(outbox),
            };
            drivers.insert(data_centre.clone(), driver);
        }
        let left = watch::Sender::new(false);
        Self {
            drivers,
            synced: engine.subscribe_synced_epoch(),
            reported: Mutex::default(),
            left,
        }
    }

    /// Takes in a message of another instance of the cell of `data_centre`.
    pub fn handle_message(&self, data_centre: &DataCentre, message: CellMessage) {
        let Some(driver) = self.drivers.get(data_centre) else {
            return;
        };
        self.note_left(driver.handle(Input::Message(Box::new(message))));
    }

    /// Lets the cells see that time has passed, and that the copies of the own records are complete.
    pub fn tick(&self) {
        let synced = *self.synced.borrow();
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = std::mem::replace(&mut *reported, synced) != synced;
        drop(reported);
        for driver in self.drivers.values() {
            if is_new && driver.is_member {
                self.note_left(driver.handle(Input::Synced { epoch: synced }));
            }
            self.note_left(driver.handle(Input::Tick));
        }
    }

    /// Leaves the cell of the own data centre and waits until an epoch without this instance is agreed.
    pub async fn leave(&self) {
        let mut left = self.left.subscribe();
        for driver in self.drivers.values() {
            if driver.is_member {
                self.note_left(driver.handle(Input::Leave));
            }
        }
        // The sender lives as long as this value, so that the wait ends only when the cell was left.
        let _ = left.wait_for(|is_left| *is_left).await;
    }

    fn note_left(&self, has_left: bool) {
        if has_left {
            self.left.send_replace(true);
        }
    }
}

impl CellDriver {
    /// Hands an input to the cell and performs its effects in order. Returns whether the cell was left.
    fn handle(&self, input: Input) -> bool {
        let mut outputs = Vec::new();
        let mut cell = self.cell.lock().unwrap_or_else(PoisonError::into_inner);
        cell.handle(self.engine.clock.now(), input, &mut outputs);
        let mut has_left = false;
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let data_centre = self.data_centre.clone();
                    self.outbox.enqueue(
                        &to,
                        Mail::Cell {
                            data_centre,
                            message: *message,
                        },
                    );
                }
                Output::Persist(_) => {}
                Output::Epoch { view, .. } => {
                    if self.is_member {
                        let mut event = self.engine.events.event(EventKind::EpochInstalled);
                        event.detail =
                            Some(format!("epoch {} of {} members", view.epoch, view.members.len()));
                        self.engine.events.record(event);
                        self.engine.install_view(&view);
                    }
                }
                Output::Lease { until } => {
                    if self.is_member {
                        self.engine.extend_lease(until);
                    }
                }
                Output::Suspicion { member, is_suspected } => {
                    log::info!("cell of {}: {member} suspected: {is_suspected}", self.data_centre);
                    if is_suspected {
                        self.engine.metrics.suspected();
                    }
                }
                Output::Left => has_left = self.is_member,
            }
        }
        drop(cell);
        has_left
    }
}

fn wall_clock() -> WallClock {
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    WallClock(unix.as_millis() as u64)
}
