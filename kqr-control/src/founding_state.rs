use std::sync::Arc;

use arc_swap::ArcSwap;
use kqr_store::{Founding, FoundingId};
use kqr_types::InstanceId;
use tonic::Status;

/// Whether this instance founds a system, belongs to one, or has not found out yet.
#[derive(Debug)]
enum Phase {
    /// The data folder has not been looked at.
    Starting,
    /// The folder is empty, and the system is to be founded with the other founders.
    Founding(FoundingId),
    /// The instance belongs to a system, founded with the folders that are named; none if it joined.
    Running(Option<Founding>),
}

/// What this instance tells others that found a system. An instance that lost its disk must not found one again: it
/// would vote as its old self, without what its old self has acknowledged.
#[derive(Clone, Debug)]
pub struct FoundingState {
    phase: Arc<ArcSwap<Phase>>,
}

impl FoundingState {
    /// Creates the answer of an instance that has not found out yet.
    pub fn starting() -> Self {
        Self {
            phase: Arc::new(ArcSwap::from_pointee(Phase::Starting)),
        }
    }

    /// Answers from now on as an instance that founds a system with a folder that drew `own`.
    pub fn set_founding(&self, own: FoundingId) {
        self.phase.store(Arc::new(Phase::Founding(own)));
    }

    /// Answers from now on as an instance that belongs to a system.
    pub fn set_running(&self, founding: Option<Founding>) {
        self.phase.store(Arc::new(Phase::Running(founding)));
    }

    /// Checks that this instance belongs to a system.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if it does not yet.
    pub fn check_running(&self) -> Result<(), Status> {
        match **self.phase.load() {
            Phase::Running(_) => Ok(()),
            Phase::Starting | Phase::Founding(_) => Err(Status::unavailable(
                "this instance has not founded its system yet",
            )),
        }
    }

    /// Answers `instance`, which founds a system with a folder that drew `founding`: with the number of the own folder
    /// if both found the same system.
    ///
    /// # Errors
    ///
    /// Returns `failed-precondition` if this instance belongs to a system that was not founded with that folder.
    pub fn answer_request(&self, instance: &InstanceId, founding: FoundingId) -> Result<FoundingId, Status> {
        match &**self.phase.load() {
            Phase::Starting => Err(Status::unavailable("this instance is starting")),
            Phase::Founding(own) => Ok(*own),
            Phase::Running(Some(known)) if known.others.get(instance) == Some(&founding) => Ok(known.own),
            Phase::Running(_) => Err(Status::failed_precondition(format!(
                "it belongs to a system that was founded without this data folder of {instance}"
            ))),
        }
    }
}
