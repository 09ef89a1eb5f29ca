use std::sync::{Arc, Mutex, PoisonError};

use kqr_directory::{Directory, Input, Output};
use kqr_telemetry::EventKind;
use kqr_types::TargetId;
use kqr_wire::mail::Mail;

use crate::{engine::Engine, outbox::Outbox};

/// The directory of the data centre's targets, and the table that follows it.
#[derive(Debug)]
pub struct Registry {
    directory: Mutex<Directory>,
    engine: Arc<Engine>,
    outbox: Arc<Outbox>,
}

impl Registry {
    /// Creates the registry around `directory`.
    pub fn new(directory: Directory, engine: Arc<Engine>, outbox: Arc<Outbox>) -> Self {
        Self {
            directory: Mutex::new(directory),
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
            Output::Send { to, message } => self.outbox.post(&to, Mail::Directory(message)),
            Output::Present(announcement) => {
                if self.engine.table.announce(&announcement) {
                    self.record(EventKind::TargetAnnounced, &announcement.id);
                    self.engine.dispatch_soon();
                }
            }
            Output::Suspect(id) => log::info!("target {id} is suspected"),
            Output::Leaving(id) => {
                self.engine.table.set_leaving(&id);
                self.record(EventKind::TargetLeft, &id);
            }
            Output::Gone(id) => {
                self.engine.table.remove(&id);
            }
        }
    }

    fn record(&self, kind: EventKind, id: &TargetId) {
        let mut event = self.engine.events.event(kind);
        event.target = Some(id.clone());
        self.engine.events.record(event);
    }
}
