use std::collections::BTreeSet;

use kqr_agreement::{Configuration, DurableState, Index, Machine, ReadMode, VoterId};
use kqr_types::{Epoch, Incarnation, InstanceId, Instant};

use crate::{
    Body, Cell, CellRecord, Founding, GroupId, Output, WallClock, group::Group, member_lease::MemberLease,
    state::CellState,
};

/// How many election timeouts a group may be without any leader before it is given up.
const UNLED_ELECTION_TIMEOUTS: u32 = 8;

/// An instance without a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Newcomer {
    voter: VoterId,
    heard: Instant,
    wall_clock: WallClock,
    highest_epoch: Epoch,
}

impl Cell {
    /// Tells all that this instance has no group; founds one if a majority of the voters has none.
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
        self.found(now, outputs);
    }

    /// Answers an instance that has no group.
    pub(crate) fn greet(
        &mut self,
        now: Instant,
        voter: &VoterId,
        wall_clock: WallClock,
        highest_epoch: Epoch,
    ) {
        if self.group.is_some() {
            self.tell_group(&voter.instance);
            return;
        }
        let newcomer = Newcomer {
            voter: voter.clone(),
            heard: now,
            wall_clock,
            highest_epoch,
        };
        self.newcomers.insert(newcomer.voter.instance.clone(), newcomer);
    }

    /// Tells `to` of the own group.
    pub(crate) fn tell_group(&mut self, to: &InstanceId) {
        let Some(group) = &self.group else {
            return;
        };
        let body = Body::Founding {
            founding: group.founding.clone(),
            leader: group.leader(),
        };
        self.send(to, body);
    }

    /// Enters a group that is led, or that was founded with this instance and not given up by it; leaves one that has
    /// lost its leader.
    pub(crate) fn enter(
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
                group.hint = leader.or_else(|| group.hint.take());
                return;
            }
            let is_unled = now.since(group.led) > 2 * self.options.election_timeout;
            if !is_led || !is_unled {
                return;
            }
            self.leave_group(now, outputs);
        }
        outputs.push(Output::Persist(CellRecord::Entered(founding.clone())));
        let agreement = self.left.remove(&founding.id).unwrap_or_default();
        let mut group = self.make_group(founding, agreement);
        group.led = now;
        group.was_led = false;
        group.hint = leader;
        self.group = Some(group);
        self.renew(now, outputs);
    }

    /// Gives up a group that has had no leader for long, unless this instance may be needed to elect one.
    pub(crate) fn leave_unled_group(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let limit = self.options.election_timeout * UNLED_ELECTION_TIMEOUTS;
        let Some(group) = &self.group else {
            return;
        };
        let is_voter = group.machine.configuration().is_voter(&self.voter);
        let is_needed = group.was_led && is_voter && !self.is_group_lost(now);
        if now.since(group.led) > limit && !is_needed {
            self.leave_group(now, outputs);
        }
    }

    /// Returns whether a majority of the voters, this one included, is heard and the others are not in the own group.
    fn is_group_lost(&self, now: Instant) -> bool {
        let window = 2 * self.options.suspicion;
        let is_counted = |(id, heard): &(&InstanceId, &Instant)| {
            self.options.voters.contains(*id) && now.since(**heard) <= window
        };
        self.outsiders.iter().filter(is_counted).count() + 1 >= self.options.quorum()
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
            led: Instant(0),
            was_led: true,
            hint: None,
            compacted: Index(0),
        }
    }

    fn leave_group(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.lease.end(now, outputs);
        self.lead = None;
        if let Some(group) = self.group.take() {
            self.left.insert(group.founding.id, group.machine.into_durable());
        }
        self.outsiders.clear();
        self.state = CellState::default();
        self.lease = MemberLease::default();
        self.seeking = now;
        self.newcomers.clear();
    }

    fn found(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if !self.options.voters.contains(&self.options.own) {
            return;
        }
        let suspicion = self.options.suspicion;
        let voters = &self.options.voters;
        self.newcomers
            .retain(|id, newcomer| now.since(newcomer.heard) <= suspicion && voters.contains(id));
        let is_first = self.newcomers.keys().all(|other| self.options.own < *other);
        let heard = self.newcomers.len() + 1;
        let is_waited = now >= self.seeking + suspicion || heard == self.options.voters.len();
        if !is_first || !is_waited || heard < self.options.quorum() {
            return;
        }
        let founding = self.founding(now);
        let invited: BTreeSet<InstanceId> = self.newcomers.keys().cloned().collect();
        self.enter(now, founding, None, outputs);
        for id in invited {
            self.tell_group(&id);
        }
    }

    fn founding(&self, now: Instant) -> Founding {
        let newcomers = self.newcomers.values();
        let founded = newcomers.clone().map(|newcomer| newcomer.wall_clock).max();
        let founded = founded.unwrap_or_default().max(self.wall_clock(now));
        let highest = newcomers.map(|newcomer| newcomer.highest_epoch).max();
        let highest = highest.unwrap_or_default().max(self.highest_epoch);
        let voter = |id: &InstanceId| {
            if *id == self.options.own {
                return self.voter.clone();
            }
            let newcomer = self.newcomers.get(id);
            newcomer.map_or_else(
                || VoterId::new(id.clone(), Incarnation(0)),
                |newcomer| newcomer.voter.clone(),
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
