//! Gauges of the jobs, the queue and the targets, for metrics and for the interval between reports of shares.

use kqr_telemetry::GaugeMetric;
use kqr_types::ServiceName;

use super::{Engine, lock};

impl Engine {
    /// Updates the gauges among the metrics.
    pub fn update_gauges(&self) {
        let targets = self.table.targets();
        let present = targets.iter().filter(|target| target.accepts_work()).count();
        let shared: u32 = targets.iter().map(|target| target.slot_limit()).sum();
        let used: u32 = targets.iter().map(|target| target.used_slots()).sum();
        let queue = lock(&self.queue);
        let (waiting, quarantined) = (queue.len(), queue.quarantined_targets().len());
        drop(queue);
        let remembered: usize = self.shards.iter().map(|shard| lock(shard).retained_jobs()).sum();
        self.metrics.set_gauge(GaugeMetric::WaitingTasks, waiting as u64);
        self.metrics
            .set_gauge(GaugeMetric::QuarantinedTargets, quarantined as u64);
        self.metrics
            .set_gauge(GaugeMetric::LiveJobs, self.homed_jobs() as u64);
        self.metrics
            .set_gauge(GaugeMetric::RememberedKeys, remembered as u64);
        self.metrics
            .set_gauge(GaugeMetric::PresentTargets, present as u64);
        self.metrics
            .set_gauge(GaugeMetric::LeavingTargets, (targets.len() - present) as u64);
        self.metrics
            .set_gauge(GaugeMetric::SharedSlots, u64::from(shared));
        self.metrics.set_gauge(GaugeMetric::UsedSlots, u64::from(used));
        self.metrics.set_gauge(GaugeMetric::Epoch, self.view().epoch.0);
        self.metrics.set_dropped_events(self.events.dropped());
    }

    /// Returns whether no slot is in use, no task waits and every target has slots leased to this instance.
    pub fn is_idle(&self) -> bool {
        let targets = self.table.targets();
        let is_settled = targets
            .iter()
            .all(|target| target.used_slots() == 0 && target.slot_limit() > 0);
        is_settled && lock(&self.queue).is_empty()
    }

    /// Returns the number of a service's tasks that wait at this instance.
    pub fn waiting_tasks(&self, service: &ServiceName) -> u32 {
        lock(&self.queue).waiting_tasks(service)
    }

    /// Returns the number of jobs that have not ended and whose home is this instance.
    pub fn homed_jobs(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).homed_jobs()).sum()
    }
}
