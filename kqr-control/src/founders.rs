use std::sync::Arc;

use arc_swap::ArcSwap;
use kqr_store::{Founding, FoundingId};
use kqr_types::InstanceId;
use tonic::Status;

/// Whether this instance founds a system, belongs to one, or has not found out yet.
#[derive(Debug)]
enum State {
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
pub struct Founders {
    state: Arc<ArcSwap<State>>,
}

impl Founders {
    /// Creates the answer of an instance that has not found out yet.
    pub fn starting() -> Self {
        Self {
            state: Arc::new(ArcSwap::from_pointee(State::Starting)),
        }
    }

    /// Answers from now on as an instance that founds a system with a folder that drew `own`.
    pub fn found(&self, own: FoundingId) {
        self.state.store(Arc::new(State::Founding(own)));
    }

    /// Answers from now on as an instance that belongs to a system.
    pub fn run(&self, founding: Option<Founding>) {
        self.state.store(Arc::new(State::Running(founding)));
    }

    /// Checks that this instance belongs to a system.
    ///
    /// # Errors
    ///
    /// Fails with `unavailable` if it does not yet.
    pub fn check_running(&self) -> Result<(), Status> {
        match **self.state.load() {
            State::Running(_) => Ok(()),
            State::Starting | State::Founding(_) => Err(Status::unavailable(
                "this instance has not founded its system yet",
            )),
        }
    }

    /// Answers `instance`, which founds a system with a folder that drew `founding`: with the number of the own folder
    /// if both found the same system.
    ///
    /// # Errors
    ///
    /// Fails with `failed-precondition` if this instance belongs to a system that was not founded with that folder.
    pub fn answer(&self, instance: &InstanceId, founding: FoundingId) -> Result<FoundingId, Status> {
        match &**self.state.load() {
            State::Starting => Err(Status::unavailable("this instance is starting")),
            State::Founding(own) => Ok(*own),
            State::Running(Some(known)) if known.others.get(instance) == Some(&founding) => Ok(known.own),
            State::Running(_) => Err(Status::failed_precondition(format!(
                "it belongs to a system that was founded without this data folder of {instance}"
            ))),
        }
    }
}
