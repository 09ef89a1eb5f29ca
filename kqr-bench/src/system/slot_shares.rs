use kqr_placement::{
    AllocatorInput, HolderInput, HolderOutput, ResourceUnits, ShareAllocator, ShareHolder, ShareOptions,
    Table,
};
use kqr_types::{CellView, InstanceId, Instant, TargetId};

/// Keeper and holder of the slots of targets at one entry.
#[derive(Debug)]
pub struct SlotShares {
    keeper: ShareAllocator<TargetId>,
    holder: ShareHolder<TargetId>,
}

impl SlotShares {
    /// Creates the shares of a new entry in a new cell, of which no lease can exist yet.
    pub fn new(own: &InstanceId, view: &CellView, table: &Table) -> Self {
        let options = ShareOptions::default();
        let mut keeper = ShareAllocator::new(own.clone(), options.clone());
        let mut holder = ShareHolder::new(own.clone(), options);
        let mut units = Vec::new();
        for target in table.targets() {
            // Until the first grant the slots are divided evenly, so that no run begins with a pause.
            target.set_share(0);
            units.push(ResourceUnits {
                resource: target.announcement.id.clone(),
                units: target.announcement.slots.0,
            });
        }
        let now = Instant(0);
        keeper.handle(now, AllocatorInput::View(view.clone()), &mut Vec::new());
        keeper.handle(now, AllocatorInput::Resources(units), &mut Vec::new());
        holder.handle(now, HolderInput::View(view.clone()), &mut Vec::new());
        Self { keeper, holder }
    }

    /// Returns the reports of a period, while `waiting` tasks wait, and sets the limits of leases that end.
    pub fn report(
        &mut self,
        now: Instant,
        table: &Table,
        waiting: u32,
    ) -> Vec<(InstanceId, AllocatorInput<TargetId>)> {
        let usage = table.share_usage(Instant::MAX, |_| waiting);
        self.holder(now, table, HolderInput::Tick(usage))
    }

    /// Hands an input to the holder and returns its reports.
    pub fn holder(
        &mut self,
        now: Instant,
        table: &Table,
        input: HolderInput<TargetId>,
    ) -> Vec<(InstanceId, AllocatorInput<TargetId>)> {
        let mut outputs = Vec::new();
        self.holder.handle(now, input, &mut outputs);
        let mut reports = Vec::new();
        let mut is_changed = false;
        for output in outputs {
            match output {
                HolderOutput::Report { to, report } => reports.push((to, AllocatorInput::Report(report))),
                HolderOutput::Limit(limit) => {
                    is_changed = true;
                    if let Some(target) = table.get(&limit.resource) {
                        target.set_share(limit.units);
                    }
                }
            }
        }
        if is_changed {
            table.refresh();
        }
        reports
    }

    /// Hands an input to the keeper and returns its grants.
    pub fn keeper(
        &mut self,
        now: Instant,
        input: AllocatorInput<TargetId>,
    ) -> Vec<(InstanceId, HolderInput<TargetId>)> {
        let mut outputs = Vec::new();
        self.keeper.handle(now, input, &mut outputs);
        let grants = outputs.into_iter();
        grants
            .map(|output| (output.to, HolderInput::Grant(output.grant)))
            .collect()
    }
}
