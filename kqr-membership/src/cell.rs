use std::collections::BTreeMap;

use kqr_agreement::{Configuration, DurableState, RoleView, VoterId};
use kqr_types::{CellView, Epoch, InstanceId, Instant};

use crate::{
    Body, CellDurable, CellMessage, GroupDigest, GroupId, Input, Life, Options, Output, WallClock,
    group::Group, joining::Newcomer, lead::Lead, member_lease::MemberLease, outbox::Outbox, state::CellState,
};

/// One instance of a cell: an entry, or a witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    pub(crate) options: Options,
    pub(crate) voter: VoterId,
    pub(crate) group: Option<Group>,
    pub(crate) left: BTreeMap<GroupId, DurableState>,
    pub(crate) newcomers: BTreeMap<InstanceId, Newcomer>,
    /// When instances were last heard that are in no group or another one.
    pub(crate) outsiders: BTreeMap<InstanceId, Instant>,
    pub(crate) state: CellState,
    pub(crate) lease: MemberLease,
    pub(crate) synced: Option<Epoch>,
    pub(crate) is_leaving: bool,
    pub(crate) has_left: bool,
    /// Whether the last leader gave up its lead for this instance.
    pub(crate) is_handed_over: bool,
    pub(crate) outbox: Outbox,
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
            has_left: false,
            is_handed_over: false,
            outbox: Outbox::new(),
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
        self.flush(outputs);
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
        self.finish_leaving(now, outputs);
        self.leave_unled_group(now, outputs);
        if now >= self.next_renewal {
            self.renew(now, outputs);
        }
    }

    fn receive(&mut self, now: Instant, message: CellMessage, outputs: &mut Vec<Output>) {
        let CellMessage { from, group, bodies } = message;
        for body in bodies {
            self.receive_body(now, &from, group, body, outputs);
        }
        if now + self.options.renewal / 2 >= self.next_renewal {
            self.renew(now, outputs);
        }
    }

    fn receive_body(
        &mut self,
        now: Instant,
        from: &VoterId,
        group: Option<GroupDigest>,
        body: Body,
        outputs: &mut Vec<Output>,
    ) {
        let is_same_group = group == self.group().map(GroupId::digest);
        if !is_same_group {
            self.outsiders.insert(from.instance.clone(), now);
        }
        match body {
            Body::Hello {
                wall_clock,
                highest_epoch,
            } => self.greet(now, from, wall_clock, highest_epoch),
            Body::Founding { founding, leader } => self.enter(now, founding, leader, outputs),
            body if is_same_group => self.receive_in_group(now, from.clone(), body, outputs),
            _ => self.tell_group(&from.instance),
        }
    }

    fn receive_in_group(&mut self, now: Instant, from: VoterId, body: Body, outputs: &mut Vec<Output>) {
        match body {
            Body::Agreement(message) => {
                self.is_handed_over |= message.body == kqr_agreement::Body::Campaign;
                self.run_agreement(now, kqr_agreement::Input::Message { from, message }, outputs);
            }
            Body::Renew(renewal) => self.note_renewal(now, from, renewal, outputs),
            Body::Grant(grant) if !self.is_leaving && grant.incarnation == self.options.incarnation => {
                self.lease.take(self.state.view.epoch, &grant, outputs);
            }
            _ => {}
        }
    }
}
