use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use arc_swap::ArcSwapOption;
use kqr_types::InstanceId;

/// Maximum number of control instances that are kept: more than a system has, and those that were replaced lately.
const MAX_CONTROLS: usize = 16;

/// The control instances that an instance knows of, and their leader.
#[derive(Debug, Default)]
pub(crate) struct KnownControls {
    /// When each control instance was last heard of.
    controls: Mutex<BTreeMap<InstanceId, Instant>>,
    leader: ArcSwapOption<InstanceId>,
}

impl KnownControls {
    /// Returns the control instances, the one that was heard of last first.
    pub(crate) fn list(&self) -> Vec<InstanceId> {
        let controls = self.lock();
        let mut newest: Vec<_> = controls.iter().collect();
        newest.sort_by(|(_, left), (_, right)| right.cmp(left));
        newest.into_iter().map(|(control, _)| control.clone()).collect()
    }

    /// Records control instances that were heard of now.
    pub(crate) fn record<Controls>(&self, controls: Controls)
    where
        Controls: IntoIterator<Item = InstanceId>,
    {
        let mut known = self.lock();
        for control in controls {
            known.insert(control, Instant::now());
        }
        while known.len() > MAX_CONTROLS {
            let oldest = known.iter().min_by_key(|(_, heard_at)| **heard_at);
            let Some(oldest) = oldest.map(|(control, _)| control.clone()) else {
                break;
            };
            known.remove(&oldest);
        }
    }

    /// Returns the leader, if this instance is in contact with it.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        self.leader.load().as_deref().cloned()
    }

    /// Records the leader, or that the contact with it is lost.
    pub(crate) fn set_leader(&self, leader: Option<InstanceId>) {
        self.leader.store(leader.map(Arc::new));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, Instant>> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
