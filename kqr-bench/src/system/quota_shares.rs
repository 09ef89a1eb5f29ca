use std::time::Duration;

use kqr_admission::{AdmissionQueue, Quota};
use kqr_placement::{
    AllocatorInput, HolderInput, HolderOutput, ResourceUnits, ResourceUsage, ShareAllocator, ShareHolder,
    ShareOptions, ShareUsage,
};
use kqr_types::{CellView, InstanceId, Instant, Rate, TeamName};

/// Time for which unused quota is kept.
const BURST: Duration = Duration::from_secs(1);

/// Keeper and holder of the teams' quotas at one entry. A unit is one task a second.
#[derive(Debug)]
pub struct QuotaShares {
    keeper: ShareAllocator<TeamName>,
    holder: ShareHolder<TeamName>,
    demands: Vec<(TeamName, u32)>,
}

impl QuotaShares {
    /// Creates the shares of a new entry.
    pub fn new(own: &InstanceId, view: &CellView, quotas: Vec<ResourceUnits<TeamName>>) -> Self {
        let options = ShareOptions::default();
        let mut keeper = ShareAllocator::new(own.clone(), options.clone());
        let mut holder = ShareHolder::new(own.clone(), options);
        let demands = quotas.iter().map(|quota| (quota.resource.clone(), 0)).collect();
        let now = Instant(0);
        keeper.handle(now, AllocatorInput::View(view.clone()), &mut Vec::new());
        keeper.handle(now, AllocatorInput::Resources(quotas), &mut Vec::new());
        holder.handle(now, HolderInput::View(view.clone()), &mut Vec::new());
        Self {
            keeper,
            holder,
            demands,
        }
    }

    /// Counts a task that a team sent.
    pub fn count(&mut self, team: &TeamName) {
        for (name, demand) in &mut self.demands {
            if name == team {
                *demand += 1;
            }
        }
    }

    /// Returns the reports of a period.
    pub fn report(
        &mut self,
        now: Instant,
        queue: &mut AdmissionQueue,
    ) -> Vec<(InstanceId, AllocatorInput<TeamName>)> {
        if self.demands.is_empty() {
            return Vec::new();
        }
        let mut uses = Vec::new();
        for (team, demand) in &mut self.demands {
            uses.push(ResourceUsage {
                resource: team.clone(),
                used: 0,
                demand: *demand,
            });
            // A moving sum over several periods, so that the shares don't follow each chance arrival.
            *demand -= *demand / 8;
        }
        let usage = ShareUsage {
            free: 0,
            uses,
            epoch_lease: Instant::MAX,
        };
        self.holder(now, queue, HolderInput::Tick(usage))
    }

    /// Hands an input to the holder and returns its reports.
    pub fn holder(
        &mut self,
        now: Instant,
        queue: &mut AdmissionQueue,
        input: HolderInput<TeamName>,
    ) -> Vec<(InstanceId, AllocatorInput<TeamName>)> {
        let mut outputs = Vec::new();
        self.holder.handle(now, input, &mut outputs);
        let mut reports = Vec::new();
        for output in outputs {
            match output {
                HolderOutput::Report { to, report } => reports.push((to, AllocatorInput::Report(report))),
                HolderOutput::Limit(limit) => {
                    let rate = Rate(f64::from(limit.units));
                    queue.set_quota(now, &limit.resource, Some(Quota { rate, burst: BURST }));
                }
            }
        }
        reports
    }

    /// Hands an input to the keeper and returns its grants.
    pub fn keeper(
        &mut self,
        now: Instant,
        input: AllocatorInput<TeamName>,
    ) -> Vec<(InstanceId, HolderInput<TeamName>)> {
        let mut outputs = Vec::new();
        self.keeper.handle(now, input, &mut outputs);
        let grants = outputs.into_iter();
        grants
            .map(|output| (output.to, HolderInput::Grant(output.grant)))
            .collect()
    }
}
