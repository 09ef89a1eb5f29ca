use std::collections::BTreeSet;

use kqr_fleet::{FencingToken, Resources, TargetGrant, TargetRecord};
use kqr_types::{Incarnation, Instant};

use super::{health::Health, next_poll::NextPoll, phase::Phase, probe::ProbeState, run::Run, runs::Runs};
use crate::{Options, RunEnd, RunId, TargetEndpoint, TargetTime};

/// A target that this entry owns.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Target {
    pub(super) record: TargetRecord,
    /// The target as control knows it.
    granted: TargetGrant,
    pub(super) token: FencingToken,
    pub(super) is_leaving: bool,
    /// Whether the data centre of the target is evacuated.
    pub(super) is_evacuated: bool,
    pub(super) must_release: bool,
    pub(super) phase: Phase,
    /// Sequence number of the last report to this entry since it became the owner, if there was one.
    pub(super) last_report: Option<(Incarnation, u64)>,
    pub(super) runs: Runs,
    /// Number of stops that are not answered yet.
    pub(super) open_stops: usize,
    /// Runs whose stops are sent when others are answered.
    pub(super) pending_stops: BTreeSet<RunId>,
    /// Number of the last processed end.
    pub(super) cursor: u64,
    pub(super) next_poll: NextPoll,
    pub(super) probe: ProbeState,
    /// Clock of the target in the newest list of runs.
    listed_at: Option<TargetTime>,
    /// Number of failed polls since the last answer.
    pub(super) missed_polls: u32,
    /// When the target last refused a connection, as its process did not run; `None` after an answer.
    pub(super) refused_at: Option<Instant>,
    /// When the target last answered a poll, or became owned.
    pub(super) last_answer_at: Instant,
    /// A reading of the target's clock, and when it arrived.
    clock: Option<(TargetTime, Instant)>,
    /// When the lease of all runs has certainly expired, unless it is extended.
    pub(super) lease_ends_at: Instant,
    /// Overdue run because of which the lease is not extended, as last logged.
    pub(super) withheld_for: Option<RunId>,
    pub(super) health: Health,
}

impl Target {
    pub(super) fn new(now: Instant, grant: &TargetGrant, options: &Options) -> Self {
        Self {
            record: grant.record.clone(),
            granted: grant.clone(),
            token: grant.token,
            is_leaving: grant.is_leaving,
            is_evacuated: grant.is_evacuated,
            must_release: grant.must_release,
            phase: Phase::Attaching,
            last_report: None,
            runs: Runs::new(options.max_unconfirmed_stop),
            open_stops: 0,
            pending_stops: BTreeSet::new(),
            cursor: 0,
            next_poll: NextPoll::At(now),
            probe: ProbeState::Idle,
            listed_at: None,
            missed_polls: 0,
            refused_at: None,
            last_answer_at: now,
            clock: None,
            lease_ends_at: now,
            withheld_for: None,
            health: Health::new(options),
        }
    }

    /// Applies the part of a grant that may change under the same token.
    pub(super) fn update(&mut self, grant: &TargetGrant) {
        if grant.record.life >= self.record.life {
            self.is_leaving |= grant.is_leaving;
        }
        if self.record.is_resized_to(&grant.record) {
            self.record.capacity = grant.record.capacity;
        }
        self.is_evacuated = grant.is_evacuated;
        self.must_release = grant.must_release;
        self.granted = grant.clone();
    }

    /// Returns whether control knows what the target reports. A report may be lost with the instance that took it.
    pub(super) fn is_granted_as(&self, record: &TargetRecord, is_leaving: bool) -> bool {
        self.granted.record == *record && self.granted.is_leaving == is_leaving
    }

    pub(super) fn endpoint(&self) -> TargetEndpoint {
        TargetEndpoint {
            target: self.record.id.clone(),
            life: self.record.life,
            address: self.record.address,
            token: self.token,
        }
    }

    /// Returns the free resources. Runs of an earlier owner have unknown needs, so nothing is free until they
    /// have ended.
    pub(super) fn free(&self) -> Resources {
        self.record.capacity - self.runs.needs()
    }

    /// Returns the capacity and the free resources that coordinators may place tasks on. While the data centre is evacuated there
    /// are none, so that no orders are queued for the target.
    pub(super) fn offer(&self) -> (Resources, Resources) {
        if self.is_evacuated {
            return Default::default();
        }
        (self.record.capacity, self.free())
    }

    /// Returns whether the target accepts new runs. A start would extend the lease of a run that must end.
    pub(super) fn is_open(&self, now: Instant, options: &Options) -> bool {
        let is_usable = self.phase == Phase::Attached
            && !self.is_leaving
            && !self.is_evacuated
            && !self.must_release
            && self.missed_polls == 0
            && !self.runs.has_unconfirmed_end()
            && !self.runs.has_late_confirmation()
            && now.since(self.last_answer_at) < options.target_timeout;
        let max_runs = self.health.max_runs(now);
        is_usable && max_runs.is_none_or(|max| self.runs.len() < max)
    }

    /// Returns whether one more start may be sent now. Each takes a connection until it is answered.
    pub(super) fn may_start(&self, now: Instant, options: &Options) -> bool {
        self.is_open(now, options) && self.runs.starting() < options.max_open_calls
    }

    /// Returns whether the target could run tasks, whatever runs there.
    pub(super) const fn is_usable(&self) -> bool {
        let is_granted = matches!(self.phase, Phase::Attaching | Phase::Attached);
        is_granted && !self.is_leaving && !self.is_evacuated && !self.must_release
    }

    /// Returns whether the target has not answered at least two polls in a row.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.missed_polls > 1
    }

    pub(super) fn update_clock(&mut self, now: Instant, clock: TargetTime) {
        if self
            .clock
            .is_none_or(|(known, at)| clock >= known + now.since(at) / 2)
        {
            self.clock = Some((clock, now));
        }
    }

    /// Records that another incarnation runs: discards the clock, the cursor and the list time of the earlier one, and
    /// accepts no runs before the next grant.
    pub(super) fn restart_as(&mut self, life: Incarnation) {
        self.record.life = life;
        self.clock = None;
        self.cursor = 0;
        self.listed_at = None;
        self.close_until_granted();
    }

    /// Accepts no runs before the next grant, because another incarnation runs than the granted one. Returns whether the target
    /// accepted some until now.
    pub(super) fn close_until_granted(&mut self) -> bool {
        let is_closed = matches!(self.phase, Phase::Restarted | Phase::Fenced);
        if !is_closed {
            self.phase = Phase::Restarted;
        }
        !is_closed
    }

    /// Returns whether control takes the incarnation that runs for an earlier one than it has granted, and so ignores its
    /// reports. That happens if the target's clock was set back.
    pub(super) fn is_older_than_granted(&self) -> bool {
        self.record.life < self.granted.record.life
    }

    /// Records a list of runs made at `clock`. Returns whether no newer list was received before: answers on
    /// different connections may be reordered.
    pub(super) fn record_list(&mut self, clock: TargetTime) -> bool {
        let is_newest = self.listed_at.is_none_or(|listed| listed <= clock);
        self.listed_at = self.listed_at.max(Some(clock));
        is_newest
    }

    /// Extends the lease from now on. Returns its end on the target's clock, or `None` if the clock is not
    /// known yet.
    pub(super) fn extend_lease(&mut self, now: Instant, options: &Options) -> Option<TargetTime> {
        let (clock, at) = self.clock?;
        self.lease_ends_at = self.lease_ends_at.max(now + options.max_lease_duration());
        Some(clock + now.since(at) + options.lease)
    }

    /// Returns a run that must end and whose stop was not confirmed in time. The lease of the target is not
    /// extended until it is gone, so that the end of the lease ends it.
    pub(super) fn overdue_run(&self, now: Instant, options: &Options) -> Option<&RunId> {
        if !self.runs.has_unconfirmed_end() && !self.runs.has_late_confirmation() {
            return None;
        }
        let mut runs = self.runs.iter();
        runs.find(|(_, run)| run.is_overdue(now, options))
            .map(|(id, _)| id)
    }

    /// Returns how a run of this target ended of which the target lists no end.
    pub(super) fn end_of(&self, run: &Run) -> RunEnd {
        if self.refused_at.is_some() || run.life != self.record.life {
            RunEnd::TargetLost(run.life)
        } else {
            RunEnd::Lost
        }
    }

    pub(super) fn remove(&mut self, run: &RunId) -> Option<Run> {
        self.runs.remove(run)
    }
}
