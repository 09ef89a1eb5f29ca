use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use kqr_directory::{Directory, Input, Output};
use kqr_telemetry::{EventKind, Level};
use kqr_types::TargetId;
use kqr_wire::mail::Mail;

use crate::{engine::Engine, outbox::Outbox};

/// The directory of the data centre's targets, and the table that follows it.
#[derive(Debug)]
pub struct Registry {
    directory: Mutex<Directory>,
    suspects: Mutex<BTreeSet<TargetId>>,
    engine: Arc<Engine>,
    outbox: Arc<Outbox>,
}

impl Registry {
    /// Creates the registry around `directory`.
    pub fn new(directory: Directory, engine: Arc<Engine>, outbox: Arc<Outbox>) -> Self {
        Self {
            directory: Mutex::new(directory),
            suspects: Mutex::default(),
            engine,
            outbox,
        }
    }

    /// Hands an input to the directory and performs its effects.
    pub fn handle(&self, input: Input) {
        let mut outputs = Vec::new();
        let mut directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.handle(self.engine.clock.now(), input, &mut outputs);
        // The effects are performed under the lock, so that the table follows the directory in order.
        for output in outputs {
            self.perform(output);
        }
        drop(directory);
    }

    fn perform(&self, output: Output) {
        match output {
            Output::Send { to, message } => self.outbox.enqueue(&to, Mail::Directory(message)),
            Output::Present(announcement) => {
                self.set_suspect(&announcement.id, false);
                if self.engine.table.announce(&announcement) {
                    self.record(EventKind::TargetAnnounced, &announcement.id);
                    self.engine.spawn_dispatch();
                }
            }
            Output::Suspect(id) => {
                log::warn!("target {id} is suspected: it missed renewals");
                self.set_suspect(&id, true);
            }
            Output::Leaving(id) => {
                self.set_suspect(&id, false);
                self.engine.table.set_leaving(&id);
                self.record(EventKind::TargetLeft, &id);
            }
            Output::Gone(id) => {
                self.set_suspect(&id, false);
                self.engine.table.remove(&id);
            }
        }
    }

    /// Counts a target among the suspected ones or not.
    fn set_suspect(&self, id: &TargetId, is_suspect: bool) {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        let is_changed = if is_suspect {
            suspects.insert(id.clone())
        } else {
            suspects.remove(id)
        };
        if is_changed {
            let count = suspects.len() as u64;
            self.engine.metrics.set(Level::SuspectTargets, count);
        }
    }

    fn record(&self, kind: EventKind, id: &TargetId) {
        let mut event = self.engine.events.event(kind);
        event.target = Some(id.clone());
        self.engine.events.record(event);
    }
}
