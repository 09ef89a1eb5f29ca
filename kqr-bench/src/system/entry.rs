use kqr_admission::{AdmissionQueue, EndedAttempt, Options, Output};
use kqr_jobs::{NotAccepted, Submission, WaitingTask};
use kqr_placement::{AllocatorInput, ResourceUnits, SiblingSelector, Table, TargetKind};
use kqr_types::{CellMember, CellView, Epoch, Incarnation, InstanceId, Instant, MemberState, ServiceName};

use super::{Message, names::Names, quota_shares::QuotaShares, slot_shares::SlotShares};
use crate::{scenario::Scenario, workload};

/// One entry with the machines that decide.
#[derive(Debug)]
pub struct Entry {
    own: InstanceId,
    service: ServiceName,
    members: Vec<InstanceId>,
    table: Table,
    queue: AdmissionQueue,
    slots: SlotShares,
    quotas: QuotaShares,
    siblings: SiblingSelector,
}

impl Entry {
    /// Creates an entry that knows all targets.
    pub fn new(index: usize, scenario: &Scenario, names: &Names) -> Self {
        let own = names.entries[index].clone();
        let member = |id: &InstanceId| CellMember {
            id: id.clone(),
            incarnation: Incarnation(1),
            weight: 1,
            state: MemberState::Full,
        };
        let view = CellView {
            epoch: Epoch(1),
            members: names.entries.iter().map(member).collect(),
        };
        let table = Table::new();
        for target in 0..scenario.targets {
            table.announce(&names.announcement(target));
        }
        let rate = scenario.capacity() / workload::mean_work(scenario);
        let mut quotas = Vec::new();
        for (team, name) in scenario.teams.iter().zip(&names.teams) {
            quotas.push(ResourceUnits {
                resource: name.clone(),
                units: (team.quota * rate) as u32,
            });
        }
        Self {
            slots: SlotShares::new(&own, &view, &table),
            quotas: QuotaShares::new(&own, &view, quotas),
            own,
            service: names.service.clone(),
            members: names.entries.clone(),
            table,
            queue: AdmissionQueue::new(Options::default()),
            siblings: SiblingSelector::default(),
        }
    }

    /// Decides whether a job is accepted.
    pub fn admit(&mut self, now: u64, job: &Submission) -> Result<(), NotAccepted> {
        self.quotas.count(&job.team);
        self.queue.admit(Instant(now), &self.table, job)
    }

    /// Adds a task to the queue.
    pub fn push(&mut self, now: u64, task: WaitingTask) {
        self.queue.push(Instant(now), &self.table, vec![task]);
    }

    /// Places waiting tasks.
    pub fn dispatch(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.queue.dispatch(Instant(now), &self.table, outputs);
    }

    /// Takes in the end of a placed task.
    pub fn ended(&mut self, now: u64, ended: &EndedAttempt) {
        self.queue.end_attempt(Instant(now), &self.table, ended);
    }

    /// Lets the queue see that time has passed.
    pub fn tick(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.queue.tick(Instant(now), &self.table, outputs);
    }

    /// Brings the orders of targets up to date.
    pub fn refresh(&self) {
        self.table.refresh();
    }

    /// Returns whether any slot of this entry is free.
    pub fn is_any_free(&self) -> bool {
        self.table.free_slots(&self.service, TargetKind::Worker) > 0
    }

    /// Returns the number of waiting tasks.
    pub fn waiting(&self) -> u32 {
        self.queue.waiting_tasks(&self.service)
    }

    /// Returns the sibling that a task is forwarded to.
    pub fn choose_sibling(&mut self, now: u64, reserve: u32) -> Option<usize> {
        let sibling = self.siblings.choose(Instant(now), reserve)?;
        self.members.iter().position(|member| *member == sibling)
    }

    /// Takes a waiting task out of the queue.
    pub fn take_for_forward(&mut self, now: u64) -> Option<WaitingTask> {
        self.queue
            .take_forwardable_tasks(Instant(now), &self.service, 1)
            .pop()
    }

    /// Returns the reports of a period and their receivers.
    pub fn report(&mut self, now: u64) -> Vec<(usize, Message)> {
        let now = Instant(now);
        let waiting = self.queue.waiting_tasks(&self.service);
        let slots = self.slots.report(now, &self.table, waiting);
        let quotas = self.quotas.report(now, &mut self.queue);
        let mut messages = self.addressed(slots, Message::SlotKeeper);
        messages.extend(self.addressed(quotas, Message::QuotaKeeper));
        messages
    }

    /// Takes in a message of a sibling or of this entry to itself; returns the replies.
    pub fn message(&mut self, now: u64, message: Message) -> Vec<(usize, Message)> {
        let now = Instant(now);
        match message {
            Message::SlotKeeper(input) => {
                if let AllocatorInput::Report(report) = &input
                    && report.from != self.own
                {
                    self.siblings.record_report(now, report.from.clone(), report.free);
                }
                let grants = self.slots.keeper(now, input);
                self.addressed(grants, Message::SlotHolder)
            }
            Message::SlotHolder(input) => {
                let reports = self.slots.holder(now, &self.table, input);
                self.addressed(reports, Message::SlotKeeper)
            }
            Message::QuotaKeeper(input) => {
                let grants = self.quotas.keeper(now, input);
                self.addressed(grants, Message::QuotaHolder)
            }
            Message::QuotaHolder(input) => {
                let reports = self.quotas.holder(now, &mut self.queue, input);
                self.addressed(reports, Message::QuotaKeeper)
            }
            Message::Forward(_) => Vec::new(),
        }
    }

    fn addressed<Input, Wrap>(&self, inputs: Vec<(InstanceId, Input)>, wrap: Wrap) -> Vec<(usize, Message)>
    where
        Wrap: Fn(Input) -> Message,
    {
        let mut messages = Vec::with_capacity(inputs.len());
        for (to, input) in inputs {
            if let Some(index) = self.members.iter().position(|member| *member == to) {
                messages.push((index, wrap(input)));
            }
        }
        messages
    }
}
