use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use kqr_types::InstanceId;

/// Maximum number of control instances that are kept: more than a system has, and those that were replaced lately.
const MAX_CONTROLS: usize = 16;

/// The control instances that an instance knows of, and their leader.
#[derive(Debug)]
pub(crate) struct KnownControls {
    /// When each control instance was last heard of.
    controls: Mutex<BTreeMap<InstanceId, Instant>>,
    leader: ArcSwapOption<InstanceId>,
    created_at: Instant,
}

impl Default for KnownControls {
    fn default() -> Self {
        Self {
            controls: Mutex::default(),
            leader: ArcSwapOption::default(),
            created_at: Instant::now(),
        }
    }
}

impl KnownControls {
    /// Returns the control instances, the one that was heard of last first.
    pub(crate) fn list(&self) -> Vec<InstanceId> {
        let mut newest = self.ages();
        newest.sort_by_key(|(_, age)| *age);
        newest.into_iter().map(|(control, _)| control).collect()
    }

    /// Returns the control instances with the time since each was heard of.
    pub(crate) fn ages(&self) -> Vec<(InstanceId, Duration)> {
        let controls = self.lock();
        let ages = controls.iter();
        ages.map(|(control, heard_at)| (control.clone(), heard_at.elapsed()))
            .collect()
    }

    /// Records control instances that were heard of now.
    pub(crate) fn record<Controls>(&self, controls: Controls)
    where
        Controls: IntoIterator<Item = InstanceId>,
    {
        self.merge(controls.into_iter().map(|control| (control, Duration::ZERO)));
    }

    /// Records control instances that another instance heard of, with the time since then. Otherwise one that is gone would
    /// look alive for as long as instances tell each other of it.
    pub(crate) fn merge<Controls>(&self, controls: Controls)
    where
        Controls: IntoIterator<Item = (InstanceId, Duration)>,
    {
        let now = Instant::now();
        let mut known = self.lock();
        for (control, age) in controls {
            let heard_at = now.checked_sub(age).unwrap_or(self.created_at);
            let latest = known.entry(control).or_insert(heard_at);
            *latest = heard_at.max(*latest);
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
