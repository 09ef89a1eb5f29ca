use std::collections::BTreeMap;

use kqr_types::{CellMember, InstanceId, Instant, MemberState};

use crate::{
    InstanceIncarnation, Options, WallClock,
    lead::{Lead, Seen},
    state::CellState,
};

impl Lead {
    /// Returns the state that should follow `state`, or `None` if it should stay.
    pub(crate) fn next_state(
        &self,
        now: Instant,
        options: &Options,
        state: &CellState,
        wall_clock: WallClock,
    ) -> Option<CellState> {
        let mut members = BTreeMap::new();
        for member in &state.view.members {
            let life = InstanceIncarnation::of(member);
            if self.is_gone(now, options, &life) && self.is_lease_ended(now, &life) {
                continue;
            }
            members.insert(member.id.clone(), self.promoted(member, state));
        }
        self.add_newcomers(now, options, &mut members);
        let mut next = state.clone();
        next.view.members = members.into_values().collect();
        if next.view == state.view {
            return None;
        }
        if next
            .view
            .members
            .iter()
            .all(|member| member.state == MemberState::Syncing)
        {
            forget(&mut next, wall_clock);
        }
        next.view.epoch = state.view.epoch.next();
        Some(next)
    }

    /// Returns whether `life` is not to stay a member.
    fn is_gone(&self, now: Instant, options: &Options, life: &InstanceIncarnation) -> bool {
        let is_leaving = self.seen.get(life).is_some_and(|seen| seen.renewal.is_leaving);
        is_leaving || self.is_superseded(life) || self.is_silent(now, options, life)
    }

    /// Returns whether `life` has not been heard for the time of suspicion.
    pub(crate) fn is_silent(&self, now: Instant, options: &Options, life: &InstanceIncarnation) -> bool {
        now.since(self.heard(life)) > options.suspicion
    }

    fn promoted(&self, member: &CellMember, state: &CellState) -> CellMember {
        let seen = self.seen.get(&InstanceIncarnation::of(member));
        let synced = seen.and_then(|seen| seen.renewal.synced);
        let mut member = member.clone();
        if synced == Some(state.view.epoch) {
            member.state = MemberState::Full;
        }
        member
    }

    fn add_newcomers(&self, now: Instant, options: &Options, members: &mut BTreeMap<InstanceId, CellMember>) {
        for (life, seen) in &self.seen {
            let Some(weight) = seen.renewal.weight else {
                continue;
            };
            if seen.renewal.is_leaving || self.is_silent(now, options, life) {
                continue;
            }
            let newcomer = || CellMember {
                id: life.instance.clone(),
                incarnation: life.incarnation,
                weight,
                state: MemberState::Syncing,
            };
            members.entry(life.instance.clone()).or_insert_with(newcomer);
        }
    }
}

/// Makes all members full: nobody remembers what was before `wall_clock`.
fn forget(state: &mut CellState, wall_clock: WallClock) {
    for member in &mut state.view.members {
        member.state = MemberState::Full;
    }
    state.since = wall_clock.max(state.since);
}

/// Returns the voters that were heard lately.
pub(crate) fn heard_lately<'seen>(
    lead: &'seen Lead,
    now: Instant,
    options: &Options,
) -> impl Iterator<Item = &'seen Seen> {
    let suspicion = options.suspicion;
    lead.seen
        .values()
        .filter(move |seen| now.since(seen.heard) <= suspicion)
}
