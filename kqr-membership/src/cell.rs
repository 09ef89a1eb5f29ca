use std::collections::BTreeMap;

use kqr_agreement::{Configuration, DurableState, RoleView, VoterId};
use kqr_types::{CellView, Epoch, InstanceId, Instant};

use crate::{
    Body, CellDurableState, CellMessage, GroupDigest, GroupId, Input, InstanceIncarnation, Options, Output,
    WallClock, group::Group, joining::UngroupedInstance, leader_state::LeaderState,
    member_lease::MemberLease, outbox::Outbox, state::CellState,
};

/// State machine of one instance of a cell, which is an entry or a witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    pub(crate) options: Options,
    pub(crate) voter: VoterId,
    pub(crate) group: Option<Group>,
    pub(crate) left: BTreeMap<GroupId, DurableState>,
    pub(crate) ungrouped: BTreeMap<InstanceId, UngroupedInstance>,
    /// When the last message of each instance without a group or in another one arrived.
    pub(crate) outside_contacts: BTreeMap<InstanceId, Instant>,
    pub(crate) state: CellState,
    pub(crate) lease: MemberLease,
    pub(crate) synced: Option<Epoch>,
    pub(crate) is_leaving: bool,
    pub(crate) has_left: bool,
    /// Whether the previous leader handed over leadership to this instance.
    pub(crate) is_handed_over: bool,
    pub(crate) outbox: Outbox,
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) highest_epoch: Epoch,
    pub(crate) next_renewal: Instant,
    pub(crate) started: Option<Instant>,
    /// Time since which this instance has had no group.
    pub(crate) ungrouped_since: Instant,
}

impl Cell {
    /// Creates the state machine from the state that earlier incarnations persisted, which is the default if
    /// the instance has no disk.
    pub fn new(options: Options, restored: CellDurableState) -> Self {
        let voter = VoterId::new(options.own.clone(), options.storage);
        let mut cell = Self {
            options,
            voter,
            group: None,
            left: restored.left,
            ungrouped: BTreeMap::new(),
            outside_contacts: BTreeMap::new(),
            state: CellState::default(),
            lease: MemberLease::default(),
            synced: None,
            is_leaving: false,
            has_left: false,
            is_handed_over: false,
            outbox: Outbox::new(),
            leader_state: None,
            highest_epoch: Epoch(0),
            next_renewal: Instant(0),
            started: None,
            ungrouped_since: Instant(0),
        };
        if let Some(founding) = restored.founding {
            cell.group = Some(cell.make_group(founding, restored.agreement));
        }
        cell
    }

    /// Handles `input` at `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        self.start(now);
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
        self.flush_outbox(outputs);
    }

    /// Returns the latest agreed membership.
    pub const fn view(&self) -> &CellView {
        &self.state.view
    }

    /// Returns the end of the lease of the current epoch, on this instance's clock.
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

    /// Returns the role, term and known leader of this instance in its group, and the group's configuration.
    pub fn agreement(&self) -> Option<(RoleView, &Configuration)> {
        let machine = &self.group.as_ref()?.machine;
        Some((machine.role(), machine.configuration()))
    }

    pub(crate) fn identity(&self) -> InstanceIncarnation {
        InstanceIncarnation {
            instance: self.options.own.clone(),
            incarnation: self.options.incarnation,
        }
    }

    /// Returns the wall clock at `now`: its reading at the start, advanced by the monotonic clock.
    pub(crate) fn wall_clock(&self, now: Instant) -> WallClock {
        let started = self.started.unwrap_or(now);
        let passed = u64::try_from(now.since(started).as_millis()).unwrap_or(u64::MAX);
        WallClock(self.options.wall_clock.0.saturating_add(passed))
    }

    fn start(&mut self, now: Instant) {
        if self.started.is_some() {
            return;
        }
        self.started = Some(now);
        self.ungrouped_since = now;
        if let Some(group) = &mut self.group {
            group.last_led = now;
        }
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.group.is_none() {
            self.seek_group(now, outputs);
            return;
        }
        self.run_agreement(now, kqr_agreement::Input::Tick, outputs);
        self.run_leader(now, outputs);
        self.finish_leaving(now, outputs);
        self.leave_leaderless_group(now, outputs);
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
            self.outside_contacts.insert(from.instance.clone(), now);
        }
        match body {
            Body::Hello {
                wall_clock,
                highest_epoch,
            } => self.receive_hello(now, from, wall_clock, highest_epoch),
            Body::Founding { founding, leader } => self.enter_group(now, founding, leader, outputs),
            body if is_same_group => self.receive_in_group(now, from.clone(), body, outputs),
            _ => self.send_founding(&from.instance),
        }
    }

    fn receive_in_group(&mut self, now: Instant, from: VoterId, body: Body, outputs: &mut Vec<Output>) {
        match body {
            Body::Agreement(message) => {
                self.is_handed_over |= message.body == kqr_agreement::Body::Campaign;
                self.run_agreement(now, kqr_agreement::Input::Message { from, message }, outputs);
            }
            Body::Renew(renewal) => self.receive_renewal(now, from, renewal, outputs),
            Body::Grant(grant) if !self.is_leaving && grant.incarnation == self.options.incarnation => {
                self.lease.accept(self.state.view.epoch, &grant, outputs);
            }
            _ => {}
        }
    }
}
