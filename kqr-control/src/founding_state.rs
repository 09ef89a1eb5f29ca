use std::sync::Arc;

use arc_swap::ArcSwap;
use kqr_store::{Founding, FoundingId};
use kqr_types::InstanceId;
use tonic::Status;

/// Phase of the start of this instance.
#[derive(Debug)]
enum Phase {
    /// The state of the data folder is not known yet.
    Starting,
    /// The instance founds a system with the other founders. Holds the id of its data folder.
    Founding(FoundingId),
    /// The instance belongs to a system. Holds the founding of the system, or `None` if the instance joined.
    Running(Option<Founding>),
}

/// State from which this instance answers the founding requests of others.
///
/// An instance that lost its disk must not found the system again: it would vote under its former identity,
/// without the entries that it acknowledged under that identity.
#[derive(Clone, Debug)]
pub struct FoundingState {
    phase: Arc<ArcSwap<Phase>>,
}

impl FoundingState {
    /// Creates the state of an instance that is starting.
    pub fn starting() -> Self {
        Self {
            phase: Arc::new(ArcSwap::from_pointee(Phase::Starting)),
        }
    }

    /// Records that the instance founds a system with a data folder of id `own`.
    pub fn set_founding(&self, own: FoundingId) {
        self.phase.store(Arc::new(Phase::Founding(own)));
    }

    /// Records that the instance belongs to a system; `founding` is `None` if the instance joined it.
    pub fn set_running(&self, founding: Option<Founding>) {
        self.phase.store(Arc::new(Phase::Running(founding)));
    }

    /// Checks that this instance belongs to a system.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if it does not belong to one yet.
    pub fn check_running(&self) -> Result<(), Status> {
        match **self.phase.load() {
            Phase::Running(_) => Ok(()),
            Phase::Starting | Phase::Founding(_) => Err(Status::unavailable(
                "this instance does not belong to a system yet",
            )),
        }
    }

    /// Returns the id of the own data folder to `instance`, which founds a system with a data folder of id
    /// `founding`, if both found the same system.
    ///
    /// # Errors
    ///
    /// Returns `unavailable` if this instance is starting, and `failed-precondition` if it belongs to a
    /// system that was not founded with that folder.
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
