//! Model of the cell's agreement on its members.

use std::time::Duration;

use kqr_jobs::Input;
use kqr_types::{CellMember, CellView, Epoch, Incarnation, InstanceId, MemberState};

use super::{member::Instance, state::State};
use crate::Step;

/// Length of a lease.
pub const LEASE: Duration = Duration::from_secs(1);

/// Adds each change of the view, and each instance that enters the agreed one.
pub fn steps(state: &State, steps: &mut Vec<Step<State>>) {
    for index in 0..state.instances.len() {
        let instance = &state.instances[index];
        let id = &instance.id;
        let present = state.view.member(id);
        let is_present_life = present.is_some_and(|member| member.incarnation == instance.incarnation);
        let is_gone = instance.is_lease_over() || !is_present_life;
        if present.is_some() && is_gone && state.budget.epochs > 0 {
            let mut next = state.clone();
            next.budget.epochs -= 1;
            next.view.members.retain(|member| member.id != *id);
            next.view.epoch = next.view.epoch.next();
            if next
                .view
                .members
                .iter()
                .any(|member| member.state == MemberState::Full)
            {
                steps.push(Step::new(
                    format!("the cell leaves {id} out: {}", next.view.epoch),
                    next,
                ));
            }
        }
        if let Some(next) = join(state, index) {
            steps.push(Step::new(
                format!("the cell takes in {id}: {}", next.view.epoch),
                next,
            ));
        }
        let Some(machine) = &instance.machine else {
            continue;
        };
        if instance.is_reachable && machine.view().epoch < state.view.epoch {
            let mut next = state.clone();
            install(&mut next, index);
            steps.push(Step::new(format!("{id} enters epoch {}", state.view.epoch), next));
        }
    }
}

/// Lets an instance enter the agreed view and renews its lease.
pub fn install(state: &mut State, index: usize) {
    let view = state.view.clone();
    let instance = &mut state.instances[index];
    instance.lease_until = instance.clock + LEASE;
    let until = instance.lease_until;
    instance.handle(vec![Input::Lease { until }]);
    state.handle(index, Input::Epoch(view));
}

/// Returns the state in which the cell agreed to take in an instance that lives and is not part of the view.
///
/// If each full member has ended, the cell starts anew with this instance.
fn join(state: &State, index: usize) -> Option<State> {
    let instance = &state.instances[index];
    let is_lost = !state.instances.iter().any(is_full_life(&state.view));
    let is_present = state
        .view
        .member(&instance.id)
        .is_some_and(|member| member.incarnation == instance.incarnation || !is_lost);
    if instance.machine.is_none() || is_present || state.budget.epochs == 0 {
        return None;
    }
    let mut next = state.clone();
    next.budget.epochs -= 1;
    next.instances[index].is_reachable = true;
    next.view.epoch = next.view.epoch.next();
    if is_lost {
        next.view.members.clear();
    }
    next.view.members.push(CellMember {
        id: instance.id.clone(),
        incarnation: instance.incarnation,
        weight: 1,
        state: if is_lost {
            MemberState::Full
        } else {
            MemberState::Syncing
        },
    });
    next.view.members.sort();
    Some(next)
}

/// Returns whether an instance lives and is a full member of `view` in this life.
fn is_full_life(view: &CellView) -> impl Fn(&Instance) -> bool {
    |instance| {
        let member = view.member(&instance.id);
        let is_member = member.is_some_and(|member| {
            member.incarnation == instance.incarnation && member.state == MemberState::Full
        });
        is_member && instance.machine.is_some()
    }
}

/// Returns a view in which the last `full` members are full ones.
pub fn view_of(epoch: u64, members: &[InstanceId], full: u8) -> CellView {
    let first_full = members.len() - usize::from(full);
    let mut view = CellView {
        epoch: Epoch(epoch),
        members: Vec::new(),
    };
    for (index, id) in members.iter().enumerate() {
        view.members.push(CellMember {
            id: id.clone(),
            incarnation: Incarnation(1),
            weight: 1,
            state: if index >= first_full {
                MemberState::Full
            } else {
                MemberState::Syncing
            },
        });
    }
    view
}
