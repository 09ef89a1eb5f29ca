use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use kqr_directory::{Directory, Input, Output};
use kqr_telemetry::{EventKind, GaugeMetric};
use kqr_types::TargetId;
use kqr_wire::entry_message::EntryMessage;

use crate::{engine::Engine, outbox::Outbox};

/// The directory of the data centre's targets. Applies its changes to the table of targets.
#[derive(Debug)]
pub struct Registry {
    directory: Mutex<Directory>,
    suspects: Mutex<BTreeSet<TargetId>>,
    engine: Arc<Engine>,
    outbox: Arc<Outbox>,
}

impl Registry {
    /// Creates a registry with the given directory.
    pub fn new(directory: Directory, engine: Arc<Engine>, outbox: Arc<Outbox>) -> Self {
        Self {
            directory: Mutex::new(directory),
            suspects: Mutex::default(),
            engine,
            outbox,
        }
    }

    /// Passes an input to the directory and performs its effects.
    pub fn handle(&self, input: Input) {
        let mut outputs = Vec::new();
        let mut directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.handle(self.engine.clock.now(), input, &mut outputs);
        // The lock is held while the effects are performed, so that the table receives changes in order.
        for output in outputs {
            self.perform(output);
        }
        drop(directory);
    }

    fn perform(&self, output: Output) {
        match output {
            Output::Send { to, message } => self.outbox.enqueue(&to, EntryMessage::Directory(message)),
            Output::Present(announcement) => {
                self.set_suspected(&announcement.id, false);
                if self.engine.table.announce(&announcement) {
                    self.record_event(EventKind::TargetAnnounced, &announcement.id);
                    self.engine.spawn_dispatch();
                }
            }
            Output::Suspect(id) => {
                log::warn!("target {id} is suspected: it missed renewals");
                self.set_suspected(&id, true);
            }
            Output::Leaving(id) => {
                self.set_suspected(&id, false);
                self.engine.table.set_leaving(&id);
                self.record_event(EventKind::TargetLeft, &id);
            }
            Output::Gone(id) => {
                self.set_suspected(&id, false);
                self.engine.table.remove(&id);
            }
        }
    }

    /// Sets whether a target is suspected and updates the number of suspected targets in the metrics.
    fn set_suspected(&self, id: &TargetId, is_suspected: bool) {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = if is_suspected {
            suspects.insert(id.clone())
        } else {
            suspects.remove(id)
        };
        if is_changed {
            let count = suspects.len() as u64;
            self.engine.metrics.set_gauge(GaugeMetric::SuspectTargets, count);
        }
    }

    fn record_event(&self, kind: EventKind, id: &TargetId) {
        let mut event = self.engine.events.new_event(kind);
        event.target = Some(id.clone());
        self.engine.events.record(event);
    }
}
