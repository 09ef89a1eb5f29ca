use std::collections::BTreeMap;

use kqr_agreement::{Configuration, Durable, RoleView, VoterId};
use kqr_types::{CellView, Epoch, InstanceId, Instant};

use crate::{
    Body, CellDurable, CellMessage, GroupId, Input, Life, Options, Output, WallClock, group::Group,
    joining::Newcomer, lead::Lead, member_lease::MemberLease, state::CellState,
};

/// One instance of a cell: an entry, or a witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    pub(crate) options: Options,
    pub(crate) voter: VoterId,
    pub(crate) group: Option<Group>,
    pub(crate) left: BTreeMap<GroupId, Durable>,
    pub(crate) newcomers: BTreeMap<InstanceId, Newcomer>,
    /// When instances were last heard that are in no group or another one.
    pub(crate) outsiders: BTreeMap<InstanceId, Instant>,
    pub(crate) state: CellState,
    pub(crate) lease: MemberLease,
    pub(crate) synced: Option<Epoch>,
    pub(crate) is_leaving: bool,
    pub(crate) lead: Option<Lead>,
    pub(crate) highest_epoch: Epoch,
    pub(crate) next_renewal: Instant,
    pub(crate) begun: Option<Instant>,
    /// Since when this instance has had no group.
    pub(crate) seeking: Instant,
}

impl Cell {
    /// Creates an instance of a cell from what its earlier lives persisted; the default if it has no disk.
    pub fn new(options: Options, restored: CellDurable) -> Self {
        let voter = VoterId::new(options.own.clone(), options.storage);
        let mut cell = Self {
            options,
            voter,
            group: None,
            left: restored.left,
            newcomers: BTreeMap::new(),
            outsiders: BTreeMap::new(),
            state: CellState::default(),
            lease: MemberLease::default(),
            synced: None,
            is_leaving: false,
            lead: None,
            highest_epoch: Epoch(0),
            next_renewal: Instant(0),
            begun: None,
            seeking: Instant(0),
        };
        if let Some(founding) = restored.founding {
            cell.group = Some(cell.make_group(founding, restored.agreement));
        }
        cell
    }

    /// Handles `input` at `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        self.begin(now);
        match input {
            Input::Tick => self.tick(now, outputs),
            Input::Message(message) => self.receive(now, *message, outputs),
            Input::Synced { epoch } => {
                self.synced = Some(epoch);
                self.renew(now, outputs);
            }
            Input::Leave => {
                self.is_leaving = true;
                self.lease.end(now, outputs);
                self.renew(now, outputs);
            }
        }
    }

    /// Returns the latest agreed membership.
    pub const fn view(&self) -> &CellView {
        &self.state.view
    }

    /// Returns the end of the lease of the present epoch, on the own clock.
    pub const fn lease_until(&self) -> Instant {
        self.lease.until
    }

    /// Returns whether this instance leads the cell.
    pub fn is_leader(&self) -> bool {
        self.group.as_ref().is_some_and(Group::is_leader)
    }

    /// Returns the group that this instance belongs to.
    pub fn group(&self) -> Option<&GroupId> {
        self.group.as_ref().map(|group| &group.founding.id)
    }

    /// Returns role, term and the known leader in the group's log, and its configuration.
    pub fn agreement(&self) -> Option<(RoleView, &Configuration)> {
        let machine = &self.group.as_ref()?.machine;
        Some((machine.role(), machine.configuration()))
    }

    pub(crate) fn life(&self) -> Life {
        Life {
            instance: self.options.own.clone(),
            incarnation: self.options.incarnation,
        }
    }

    /// Returns the wall clock at `now`, by the own monotonic clock since the begin.
    pub(crate) fn wall_clock(&self, now: Instant) -> WallClock {
        let begun = self.begun.unwrap_or(now);
        let passed = u64::try_from(now.since(begun).as_millis()).unwrap_or(u64::MAX);
        WallClock(self.options.wall_clock.0.saturating_add(passed))
    }

    pub(crate) fn send(&self, to: &InstanceId, body: Body, outputs: &mut Vec<Output>) {
        let message = Box::new(CellMessage {
            from: self.voter.clone(),
            group: self.group().cloned(),
            body,
        });
        outputs.push(Output::Send {
            to: to.clone(),
            message,
        });
    }

    fn begin(&mut self, now: Instant) {
        if self.begun.is_some() {
            return;
        }
        self.begun = Some(now);
        self.seeking = now;
        if let Some(group) = &mut self.group {
            group.led = now;
        }
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.group.is_none() {
            self.seek_group(now, outputs);
            return;
        }
        self.run_agreement(now, kqr_agreement::Input::Tick, outputs);
        self.lead_cell(now, outputs);
        self.leave_unled_group(now, outputs);
        if now >= self.next_renewal {
            self.renew(now, outputs);
        }
    }

    fn receive(&mut self, now: Instant, message: CellMessage, outputs: &mut Vec<Output>) {
        let CellMessage { from, group, body } = message;
        if group.as_ref() != self.group() {
            self.outsiders.insert(from.instance.clone(), now);
        }
        match body {
            Body::Hello {
                wall_clock,
                highest_epoch,
            } => {
                self.greet(now, from, wall_clock, highest_epoch, outputs);
            }
            Body::Founding { founding, leader } => self.enter(now, founding, leader, outputs),
            body if group.as_ref() == self.group() => self.receive_in_group(now, from, body, outputs),
            _ => self.tell_group(&from.instance, outputs),
        }
    }

    fn receive_in_group(&mut self, now: Instant, from: VoterId, body: Body, outputs: &mut Vec<Output>) {
        match body {
            Body::Agreement(message) => {
                self.run_agreement(now, kqr_agreement::Input::Message { from, message }, outputs);
            }
            Body::Renew(renewal) => self.note_renewal(now, from, renewal, outputs),
            Body::Grant(grant) if !self.is_leaving => {
                self.lease.take(self.state.view.epoch, &grant, outputs);
            }
            _ => {}
        }
    }
}
