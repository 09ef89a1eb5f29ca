use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use kqr_jobs::Member;
use kqr_membership::{Cell, CellDurableState, CellMessage, Input, Options, Output, WallClock};
use kqr_telemetry::EventKind;
use kqr_types::{DataCentre, Epoch};
use kqr_wire::entry_message::EntryMessage;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::{engine::Engine, outbox::Outbox, topology::RegionTopology};

/// Drives the state machine of one cell, in which this instance is a member or a witness.
#[derive(Debug)]
struct CellDriver {
    data_centre: DataCentre,
    is_member: bool,
    cell: Mutex<Cell>,
    engine: Arc<Engine>,
    outbox: Arc<Outbox>,
}

/// Drivers of all cells that this instance is a voter of: that of its own data centre, and those that it is a
/// witness of.
#[derive(Debug)]
pub struct CellDrivers {
    drivers: BTreeMap<DataCentre, CellDriver>,
    synced: watch::Receiver<Epoch>,
    reported: Mutex<Epoch>,
    left: watch::Sender<bool>,
}

impl CellDrivers {
    /// Creates a driver for each cell whose voters include `own`, an entry of `own_data_centre`.
    pub fn new(
        own: &Member,
        own_data_centre: &DataCentre,
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
            let is_member = data_centre == own_data_centre;
            let mut options = Options::new(own.id.clone(), own.incarnation, voters).with_suspicion(suspicion);
            options.weight = is_member.then_some(1);
            options.wall_clock = wall_clock();
            options.seed = xxh3_64(own.id.as_str().as_bytes());
            // Entries have no disk, so each incarnation joins the cell as a new voter.
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

    /// Handles a message from another instance of the cell of `data_centre`.
    pub fn handle_message(&self, data_centre: &DataCentre, message: CellMessage) {
        let Some(driver) = self.drivers.get(data_centre) else {
            return;
        };
        self.record_left(driver.handle(Input::Message(Box::new(message))));
    }

    /// Advances the cells to the current time, and reports a newly completed copy of the records to the cell
    /// that this instance is a member of.
    pub fn tick(&self) {
        let synced = *self.synced.borrow();
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = std::mem::replace(&mut *reported, synced) != synced;
        drop(reported);
        for driver in self.drivers.values() {
            if is_new && driver.is_member {
                self.record_left(driver.handle(Input::Synced { epoch: synced }));
            }
            self.record_left(driver.handle(Input::Tick));
        }
    }

    /// Leaves the cell of this instance's data centre and waits until an epoch without this instance is
    /// agreed on.
    pub async fn leave(&self) {
        let mut left = self.left.subscribe();
        for driver in self.drivers.values() {
            if driver.is_member {
                self.record_left(driver.handle(Input::Leave));
            }
        }
        // The sender is not dropped before `self`, so that the wait ends only once the cell was left.
        let _ = left.wait_for(|is_left| *is_left).await;
    }

    fn record_left(&self, has_left: bool) {
        if has_left {
            self.left.send_replace(true);
        }
    }
}

impl CellDriver {
    /// Passes an input to the cell and performs its effects in order. Returns whether this member has left
    /// the cell.
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
                        EntryMessage::Cell {
                            data_centre,
                            message: *message,
                        },
                    );
                }
                Output::Persist(_) => {}
                Output::Epoch { view, .. } => {
                    if self.is_member {
                        let mut event = self.engine.events.new_event(EventKind::EpochInstalled);
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
                    log::info!(
                        "cell of {}: member {member} suspected: {is_suspected}",
                        self.data_centre
                    );
                    if is_suspected {
                        self.engine.metrics.count_suspicion();
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
