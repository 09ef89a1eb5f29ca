use kqr_placement::{
    AllocatorInput, AllocatorOutput, HolderInput, HolderOutput, Resource, ResourceUnits, ShareAllocator,
    ShareGrant, ShareHolder, ShareOptions, ShareReport, ShareUsage,
};
use kqr_types::{CellView, Epoch, InstanceId, Instant};

/// A message to another member of the cell about shares.
#[derive(Debug)]
pub enum ShareMessage<Id> {
    /// Units that this member holds and demands.
    Report(ShareReport<Id>),
    /// Units that are leased to the receiver.
    Grant(ShareGrant<Id>),
}

/// Effects of an input to [`CellShares`].
#[derive(Debug)]
pub struct ShareEffects<Id> {
    /// Messages to other members, with their receivers.
    pub messages: Vec<(InstanceId, ShareMessage<Id>)>,
    /// New limits on the units that this member may use.
    pub limits: Vec<ResourceUnits<Id>>,
}

impl<Id> Default for ShareEffects<Id> {
    fn default() -> Self {
        Self {
            messages: Vec::new(),
            limits: Vec::new(),
        }
    }
}

/// Units of resources that are leased to this member of the cell, and those that it leases to the members.
#[derive(Debug)]
pub struct CellShares<Id>
where
    Id: Resource,
{
    own: InstanceId,
    holder: ShareHolder<Id>,
    allocator: ShareAllocator<Id>,
    epoch: Epoch,
}

impl<Id> CellShares<Id>
where
    Id: Resource,
{
    /// Creates the shares of a member without leased units.
    pub fn new(own: InstanceId, options: &ShareOptions) -> Self {
        Self {
            holder: ShareHolder::new(own.clone(), options.clone()),
            allocator: ShareAllocator::new(own.clone(), options.clone()),
            own,
            epoch: Epoch(0),
        }
    }

    /// Sets the membership view of the cell. Returns whether its epoch is new.
    pub fn set_view(&mut self, now: Instant, view: &CellView) -> bool {
        if view.epoch <= self.epoch {
            return false;
        }
        self.epoch = view.epoch;
        self.holder
            .handle(now, HolderInput::View(view.clone()), &mut Vec::new());
        self.allocator
            .handle(now, AllocatorInput::View(view.clone()), &mut Vec::new());
        true
    }

    /// Sets all resources with their total units.
    pub fn set_resources(&mut self, now: Instant, units: Vec<ResourceUnits<Id>>) {
        self.allocator
            .handle(now, AllocatorInput::Resources(units), &mut Vec::new());
    }

    /// Reports the usage of units to the allocators.
    pub fn tick(&mut self, now: Instant, usage: ShareUsage<Id>) -> ShareEffects<Id> {
        self.handle_holder_input(now, HolderInput::Tick(usage))
    }

    /// Handles the report of a member.
    pub fn handle_report(&mut self, now: Instant, report: ShareReport<Id>) -> ShareEffects<Id> {
        let mut effects = ShareEffects::default();
        self.allocate(now, report, &mut effects);
        effects
    }

    /// Handles the grant of an allocator.
    pub fn handle_grant(&mut self, now: Instant, grant: ShareGrant<Id>) -> ShareEffects<Id> {
        self.handle_holder_input(now, HolderInput::Grant(grant))
    }

    fn handle_holder_input(&mut self, now: Instant, input: HolderInput<Id>) -> ShareEffects<Id> {
        let mut outputs = Vec::new();
        self.holder.handle(now, input, &mut outputs);
        let mut effects = ShareEffects::default();
        for output in outputs {
            match output {
                HolderOutput::Report { to, report } if to == self.own => {
                    self.allocate(now, report, &mut effects);
                }
                HolderOutput::Report { to, report } => {
                    effects.messages.push((to, ShareMessage::Report(report)));
                }
                HolderOutput::Limit(units) => effects.limits.push(units),
            }
        }
        effects
    }

    fn allocate(&mut self, now: Instant, report: ShareReport<Id>, effects: &mut ShareEffects<Id>) {
        let mut outputs = Vec::new();
        self.allocator
            .handle(now, AllocatorInput::Report(report), &mut outputs);
        for AllocatorOutput { to, grant } in outputs {
            if to != self.own {
                effects.messages.push((to, ShareMessage::Grant(grant)));
                continue;
            }
            let granted = self.handle_holder_input(now, HolderInput::Grant(grant));
            effects.messages.extend(granted.messages);
            effects.limits.extend(granted.limits);
        }
    }
}
