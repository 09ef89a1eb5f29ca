use kqr_placement::{
    AllocatorInput, AllocatorOutput, HolderInput, HolderOutput, Resource, ResourceUnits, ShareAllocator,
    ShareGrant, ShareHolder, ShareOptions, ShareReport, ShareUsage,
};
use kqr_types::{CellView, Epoch, InstanceId, Instant};

/// A message about shares to another member of the cell.
#[derive(Debug)]
pub enum ShareMessage<Id> {
    /// What this member uses.
    Report(ShareReport<Id>),
    /// What is leased to the receiver.
    Grant(ShareGrant<Id>),
}

/// Effects of an input to the shares of a member.
#[derive(Debug)]
pub struct ShareEffects<Id> {
    /// Messages and their receivers.
    pub messages: Vec<(InstanceId, ShareMessage<Id>)>,
    /// Units that this member may use from now on.
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

/// The units of resources that are leased to this member of the cell, and those that it leases to all members.
#[derive(Debug)]
pub struct CellShares<Id>
where
    Id: Resource,
{
    own: InstanceId,
    holder: ShareHolder<Id>,
    keeper: ShareAllocator<Id>,
    epoch: Epoch,
}

impl<Id> CellShares<Id>
where
    Id: Resource,
{
    /// Creates the shares of a member that holds none yet.
    pub fn new(own: InstanceId, options: &ShareOptions) -> Self {
        Self {
            holder: ShareHolder::new(own.clone(), options.clone()),
            keeper: ShareAllocator::new(own.clone(), options.clone()),
            own,
            epoch: Epoch(0),
        }
    }

    /// Takes in the view of the cell. Returns whether it is a new one.
    pub fn set_view(&mut self, now: Instant, view: &CellView) -> bool {
        if view.epoch <= self.epoch {
            return false;
        }
        self.epoch = view.epoch;
        self.holder
            .handle(now, HolderInput::View(view.clone()), &mut Vec::new());
        self.keeper
            .handle(now, AllocatorInput::View(view.clone()), &mut Vec::new());
        true
    }

    /// Takes in all units of all resources.
    pub fn set_resources(&mut self, now: Instant, units: Vec<ResourceUnits<Id>>) {
        self.keeper
            .handle(now, AllocatorInput::Resources(units), &mut Vec::new());
    }

    /// Reports the use of units.
    pub fn tick(&mut self, now: Instant, usage: ShareUsage<Id>) -> ShareEffects<Id> {
        self.hold(now, HolderInput::Tick(usage))
    }

    /// Takes in the report of a member.
    pub fn handle_report(&mut self, now: Instant, report: ShareReport<Id>) -> ShareEffects<Id> {
        let mut effects = ShareEffects::default();
        self.keep(now, report, &mut effects);
        effects
    }

    /// Takes in the grant of a member.
    pub fn handle_grant(&mut self, now: Instant, grant: ShareGrant<Id>) -> ShareEffects<Id> {
        self.hold(now, HolderInput::Grant(grant))
    }

    fn hold(&mut self, now: Instant, input: HolderInput<Id>) -> ShareEffects<Id> {
        let mut outputs = Vec::new();
        self.holder.handle(now, input, &mut outputs);
        let mut effects = ShareEffects::default();
        for output in outputs {
            match output {
                HolderOutput::Report { to, report } if to == self.own => self.keep(now, report, &mut effects),
                HolderOutput::Report { to, report } => {
                    effects.messages.push((to, ShareMessage::Report(report)));
                }
                HolderOutput::Limit(units) => effects.limits.push(units),
            }
        }
        effects
    }

    fn keep(&mut self, now: Instant, report: ShareReport<Id>, effects: &mut ShareEffects<Id>) {
        let mut outputs = Vec::new();
        self.keeper
            .handle(now, AllocatorInput::Report(report), &mut outputs);
        for AllocatorOutput { to, grant } in outputs {
            if to != self.own {
                effects.messages.push((to, ShareMessage::Grant(grant)));
                continue;
            }
            let granted = self.hold(now, HolderInput::Grant(grant));
            effects.messages.extend(granted.messages);
            effects.limits.extend(granted.limits);
        }
    }
}
