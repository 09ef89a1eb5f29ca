use std::collections::BTreeMap;

use kqr_types::{CellMember, InstanceId, Instant, MemberState};

use crate::{
    InstanceIncarnation, Options, WallClock,
    leader_state::{LeaderState, ReceivedRenewal},
    state::CellState,
};

impl LeaderState {
    /// Returns the state to propose after `state`, or `None` if it needs no change.
    pub(crate) fn next_state(
        &self,
        now: Instant,
        options: &Options,
        state: &CellState,
        wall_clock: WallClock,
    ) -> Option<CellState> {
        let mut members = BTreeMap::new();
        for member in &state.view.members {
            let identity = InstanceIncarnation::of(member);
            if self.must_remove(now, options, &identity) && self.is_lease_ended(now, &identity) {
                continue;
            }
            members.insert(member.id.clone(), self.with_reported_state(member, state));
        }
        self.add_joining_members(now, options, &mut members);
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
            restart_history(&mut next, wall_clock);
        }
        next.view.epoch = state.view.epoch.next();
        Some(next)
    }

    /// Returns whether `identity` must be removed from the members.
    fn must_remove(&self, now: Instant, options: &Options, identity: &InstanceIncarnation) -> bool {
        let is_leaving = self
            .renewals
            .get(identity)
            .is_some_and(|received| received.renewal.is_leaving);
        is_leaving || self.is_superseded(identity) || self.is_unresponsive(now, options, identity)
    }

    /// Returns whether no renewal of `identity` has arrived within the suspicion timeout.
    pub(crate) fn is_unresponsive(
        &self,
        now: Instant,
        options: &Options,
        identity: &InstanceIncarnation,
    ) -> bool {
        now.since(self.last_contact(identity)) > options.suspicion
    }

    fn with_reported_state(&self, member: &CellMember, state: &CellState) -> CellMember {
        let received = self.renewals.get(&InstanceIncarnation::of(member));
        let synced = received.and_then(|received| received.renewal.synced);
        let mut member = member.clone();
        if synced == Some(state.view.epoch) {
            member.state = MemberState::Full;
        }
        member
    }

    fn add_joining_members(
        &self,
        now: Instant,
        options: &Options,
        members: &mut BTreeMap<InstanceId, CellMember>,
    ) {
        for (identity, received) in &self.renewals {
            let Some(weight) = received.renewal.weight else {
                continue;
            };
            if received.renewal.is_leaving || self.is_unresponsive(now, options, identity) {
                continue;
            }
            let joining = || CellMember {
                id: identity.instance.clone(),
                incarnation: identity.incarnation,
                weight,
                state: MemberState::Syncing,
            };
            members.entry(identity.instance.clone()).or_insert_with(joining);
        }
    }
}

/// Makes all members full and moves `since` forward to `wall_clock`, because no member has records from
/// before it.
fn restart_history(state: &mut CellState, wall_clock: WallClock) {
    for member in &mut state.view.members {
        member.state = MemberState::Full;
    }
    state.since = wall_clock.max(state.since);
}

/// Returns the renewals that arrived within the suspicion timeout.
pub(crate) fn recent_renewals<'state>(
    leader_state: &'state LeaderState,
    now: Instant,
    options: &Options,
) -> impl Iterator<Item = &'state ReceivedRenewal> {
    let suspicion = options.suspicion;
    leader_state
        .renewals
        .values()
        .filter(move |received| now.since(received.received_at) <= suspicion)
}
