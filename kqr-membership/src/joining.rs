use std::collections::BTreeSet;

use kqr_agreement::{Configuration, DurableState, Index, Machine, ReadMode, VoterId};
use kqr_types::{Epoch, Incarnation, InstanceId, Instant};

use crate::{
    Body, Cell, CellRecord, Founding, GroupId, Output, WallClock, group::Group, member_lease::MemberLease,
    state::CellState,
};

/// Number of election timeouts without a leader after which an instance leaves its group.
const MAX_LEADERLESS_ELECTION_TIMEOUTS: u32 = 8;

/// Another instance that has no group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UngroupedInstance {
    voter: VoterId,
    received_at: Instant,
    wall_clock: WallClock,
    highest_epoch: Epoch,
}

impl Cell {
    /// Announces to the voters that this instance has no group, and founds one if a majority of the voters
    /// has none.
    pub(crate) fn seek_group(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if now < self.next_renewal {
            return;
        }
        self.next_renewal = now + self.options.renewal;
        let hello = Body::Hello {
            wall_clock: self.wall_clock(now),
            highest_epoch: self.highest_epoch,
        };
        self.send_to_voters(&hello);
        self.found_group(now, outputs);
    }

    /// Handles the announcement of an instance without a group: describes the own group to it or, without
    /// one, records the instance.
    pub(crate) fn receive_hello(
        &mut self,
        now: Instant,
        voter: &VoterId,
        wall_clock: WallClock,
        highest_epoch: Epoch,
    ) {
        if self.group.is_some() {
            self.send_founding(&voter.instance);
            return;
        }
        let other = UngroupedInstance {
            voter: voter.clone(),
            received_at: now,
            wall_clock,
            highest_epoch,
        };
        self.ungrouped.insert(other.voter.instance.clone(), other);
    }

    /// Describes the own group to `to`.
    pub(crate) fn send_founding(&mut self, to: &InstanceId) {
        let Some(group) = &self.group else {
            return;
        };
        let body = Body::Founding {
            founding: group.founding.clone(),
            leader: group.leader(),
        };
        self.send(to, body);
    }

    /// Enters a group that has a leader, or that lists this instance among its founding voters and that this
    /// instance has not left. The current group is left only if it has lost its leader and the other one has
    /// one.
    pub(crate) fn enter_group(
        &mut self,
        now: Instant,
        founding: Founding,
        leader: Option<VoterId>,
        outputs: &mut Vec<Output>,
    ) {
        let is_led = leader.is_some();
        let is_founder =
            founding.configuration.is_voter(&self.voter) && !self.left.contains_key(&founding.id);
        if !(is_led || is_founder) {
            return;
        }
        if let Some(group) = &mut self.group {
            if group.founding.id == founding.id {
                group.leader_hint = leader.or_else(|| group.leader_hint.take());
                return;
            }
            let is_leaderless = now.since(group.last_led) > 2 * self.options.election_timeout;
            if !is_led || !is_leaderless {
                return;
            }
            self.leave_group(now, outputs);
        }
        outputs.push(Output::Persist(CellRecord::Entered(founding.clone())));
        let agreement = self.left.remove(&founding.id).unwrap_or_default();
        let mut group = self.make_group(founding, agreement);
        group.last_led = now;
        group.has_had_leader = false;
        group.leader_hint = leader;
        self.group = Some(group);
        self.renew(now, outputs);
    }

    /// Leaves a group that has had no leader for a long time, unless the vote of this instance may be needed
    /// to elect one.
    pub(crate) fn leave_leaderless_group(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let limit = self.options.election_timeout * MAX_LEADERLESS_ELECTION_TIMEOUTS;
        let Some(group) = &self.group else {
            return;
        };
        let is_voter = group.machine.configuration().is_voter(&self.voter);
        let is_needed = group.has_had_leader && is_voter && !self.is_group_lost(now);
        if now.since(group.last_led) > limit && !is_needed {
            self.leave_group(now, outputs);
        }
    }

    /// Returns whether this instance and the voters that recently sent messages from outside the own group
    /// form a majority of the voters.
    fn is_group_lost(&self, now: Instant) -> bool {
        let window = 2 * self.options.suspicion;
        let is_counted = |(id, last_contact): &(&InstanceId, &Instant)| {
            self.options.voters.contains(*id) && now.since(**last_contact) <= window
        };
        self.outside_contacts.iter().filter(is_counted).count() + 1 >= self.options.quorum()
    }

    pub(crate) fn make_group(&self, founding: Founding, agreement: DurableState) -> Group {
        let options = kqr_agreement::Options {
            founding: founding.configuration.clone(),
            election_timeout: self.options.election_timeout,
            heartbeat: self.options.heartbeat,
            drift_per_mille: self.options.drift_per_mille,
            reads: ReadMode::Index,
            seed: self.options.seed,
            ..kqr_agreement::Options::default()
        };
        Group {
            machine: Machine::new(self.voter.clone(), options, agreement),
            founding,
            last_led: Instant(0),
            has_had_leader: true,
            leader_hint: None,
            compacted: Index(0),
        }
    }

    fn leave_group(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.lease.end(now, outputs);
        self.leader_state = None;
        if let Some(group) = self.group.take() {
            self.left.insert(group.founding.id, group.machine.into_durable());
        }
        self.outside_contacts.clear();
        self.state = CellState::default();
        self.lease = MemberLease::default();
        self.ungrouped_since = now;
        self.ungrouped.clear();
    }

    fn found_group(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.options.voters.contains(&self.options.own) {
            return;
        }
        let suspicion = self.options.suspicion;
        let voters = &self.options.voters;
        self.ungrouped
            .retain(|id, other| now.since(other.received_at) <= suspicion && voters.contains(id));
        let is_first = self.ungrouped.keys().all(|other| self.options.own < *other);
        let reachable = self.ungrouped.len() + 1;
        let is_wait_over = now >= self.ungrouped_since + suspicion || reachable == self.options.voters.len();
        if !is_first || !is_wait_over || reachable < self.options.quorum() {
            return;
        }
        let founding = self.new_founding(now);
        let invited: BTreeSet<InstanceId> = self.ungrouped.keys().cloned().collect();
        self.enter_group(now, founding, None, outputs);
        for id in invited {
            self.send_founding(&id);
        }
    }

    fn new_founding(&self, now: Instant) -> Founding {
        let ungrouped = self.ungrouped.values();
        let founded = ungrouped.clone().map(|other| other.wall_clock).max();
        let founded = founded.unwrap_or_default().max(self.wall_clock(now));
        let highest = ungrouped.map(|other| other.highest_epoch).max();
        let highest = highest.unwrap_or_default().max(self.highest_epoch);
        let voter = |id: &InstanceId| {
            if *id == self.options.own {
                return self.voter.clone();
            }
            let other = self.ungrouped.get(id);
            other.map_or_else(
                || VoterId::new(id.clone(), Incarnation(0)),
                |other| other.voter.clone(),
            )
        };
        Founding {
            id: GroupId {
                founded,
                founder: self.voter.clone(),
            },
            configuration: Configuration::of_voters(self.options.voters.iter().map(voter)),
            first_epoch: Epoch(founded.0.max(highest.0 + 1)),
        }
    }

    fn send_to_voters(&mut self, body: &Body) {
        let voters = self.options.voters.clone();
        for id in voters {
            if id != self.options.own {
                self.send(&id, body.clone());
            }
        }
    }
}
