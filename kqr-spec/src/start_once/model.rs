use std::{sync::Arc, time::Duration};

use kqr_jobs::{
    CallerId, Input, Machine, Member, Options, Submission, Submit, TaskEnd, TaskSpec, home_order,
};
use kqr_types::{
    Attempt, ByteSize, Incarnation, InstanceId, Instant, JobKey, KeyDigest, MemberState, ParseError, TargetId,
};

use super::{
    agreed::{self, LEASE, install, view_of},
    member::Instance,
    packet::Packet,
    scenario::Scenario,
    state::State,
    target::Target,
};
use crate::{Model, Step};

/// Time for which a cell distrusts unknown keys after it lost its records; longer than any run.
const MEMORY: Duration = Duration::from_secs(10);
/// Time that the caller is willing to wait; longer than any run.
const DEADLINE: Duration = Duration::from_secs(1000);
/// Time of the first step, when the records of the first epoch cover all that matters.
const BEGIN: Instant = Instant(100_000_000);

/// The specification of one scenario.
#[derive(Clone, Debug)]
pub struct StartOnce {
    scenario: Scenario,
    members: Vec<InstanceId>,
    targets: Vec<TargetId>,
    submission: Submission,
}

impl StartOnce {
    /// Creates the specification. Its key has the first instance as home, and then the others in order.
    ///
    /// # Errors
    ///
    /// Fails if one of the names that it makes is malformed.
    pub fn new(scenario: Scenario) -> Result<Self, ParseError> {
        let mut members: Vec<InstanceId> = Vec::new();
        let mut targets = Vec::new();
        for index in 0..scenario.members {
            members.push(format!("entry-{index}").parse()?);
            targets.push(format!("target-{index}").parse()?);
        }
        let spec = TaskSpec {
            class: "class".parse()?,
            payload: String::new(),
            run_time: None,
            cores: 1,
            memory: ByteSize(0),
            accelerators: 0,
        };
        let submission = Submission {
            key: ordered_key(&members)?,
            attempt: None,
            team: "team".parse()?,
            service: "service".parse()?,
            deadline: DEADLINE,
            fingerprint: 1,
            tasks: vec![spec; usize::from(scenario.tasks)],
        };
        Ok(Self {
            scenario,
            members,
            targets,
            submission,
        })
    }

    fn machine(&self, instance: &Instance) -> Arc<Machine> {
        let member = Member {
            id: instance.id.clone(),
            incarnation: instance.incarnation,
        };
        let options = Options {
            retention: MEMORY,
            tombstone_retention: MEMORY,
            cold_start_window: if self.scenario.is_late {
                Duration::ZERO
            } else {
                MEMORY
            },
            fault: self.scenario.fault,
            ..Options::default()
        };
        Arc::new(Machine::new(member, options))
    }

    fn caller_steps(&self, state: &State, steps: &mut Vec<Step<State>>) {
        if self.scenario.is_late && state.instances.iter().all(|instance| instance.is_reachable) {
            return;
        }
        for index in 0..state.instances.len() {
            if state.instances[index].machine.is_none() {
                continue;
            }
            let id = &state.instances[index].id;
            if state.budget.submissions > 0 {
                let mut next = state.clone();
                next.budget.submissions -= 1;
                next.submitted += 1;
                self.submit(&mut next, index);
                steps.push(Step::new(
                    format!("caller submits attempt {} at {id}", next.submitted),
                    next,
                ));
            }
            if state.budget.copies > 0 && state.submitted > 0 {
                let mut next = state.clone();
                next.budget.copies -= 1;
                self.submit(&mut next, index);
                steps.push(Step::new(
                    format!("copy of attempt {} arrives at {id}", next.submitted),
                    next,
                ));
            }
            if state.budget.cancels > 0 {
                let mut next = state.clone();
                next.budget.cancels -= 1;
                let cancel = Input::Cancel {
                    key: self.submission.key.clone(),
                    caller: CallerId(100),
                };
                next.handle(index, cancel);
                steps.push(Step::new(format!("caller cancels at {id}"), next));
            }
            if state.budget.renounces > 0 {
                let mut next = state.clone();
                next.budget.renounces -= 1;
                let renounce = Input::Renounce {
                    key: self.submission.key.clone(),
                    caller: CallerId(101),
                };
                next.handle(index, renounce);
                steps.push(Step::new(
                    format!("another data centre asks {id} for the key"),
                    next,
                ));
            }
        }
    }

    fn submit(&self, state: &mut State, index: usize) {
        let submit = Submit {
            caller: Some(CallerId(u64::from(state.submitted))),
            submission: Submission {
                attempt: Some(Attempt(state.submitted)),
                ..self.submission.clone()
            },
        };
        state.handle(index, Input::Submit(submit));
    }

    fn network_steps(&self, state: &State, steps: &mut Vec<Step<State>>) {
        for position in 0..state.network.len() {
            if position > 0 && state.network[position] == state.network[position - 1] {
                continue;
            }
            let packet = &state.network[position];
            let mut next = state.clone();
            next.network.remove(position);
            self.arrive(&mut next, packet, false);
            steps.push(Step::new(format!("arrives: {packet:?}"), next));
            if state.budget.duplicates > 0 {
                let mut next = state.clone();
                next.budget.duplicates -= 1;
                self.arrive(&mut next, packet, false);
                steps.push(Step::new(format!("arrives, and will again: {packet:?}"), next));
            }
            if state.budget.failures > 0 && matches!(packet, Packet::Start(_)) {
                let mut next = state.clone();
                next.budget.failures -= 1;
                next.network.remove(position);
                self.arrive(&mut next, packet, true);
                steps.push(Step::new(format!("arrives and fails: {packet:?}"), next));
            }
        }
    }

    fn arrive(&self, state: &mut State, packet: &Packet, is_failing: bool) {
        match packet {
            Packet::Peer {
                from,
                incarnation,
                to,
                message,
            } => {
                let Some(index) = state.instances.iter().position(|instance| instance.id == *to) else {
                    return;
                };
                let input = Input::Peer {
                    from: from.clone(),
                    incarnation: *incarnation,
                    message: message.clone(),
                };
                state.handle(index, input);
            }
            Packet::Start(request) | Packet::Query(request) => {
                let target = &mut state.targets[request.target];
                let is_start = matches!(packet, Packet::Start(_));
                let result = if target.incarnation != request.target_incarnation {
                    kqr_jobs::TaskResult::Unknown("the target was restarted".to_owned())
                } else if is_start {
                    target.start(request.attempt, is_failing)
                } else {
                    target.ask(request.attempt, self.scenario.is_unfenced)
                };
                state.network.push(Packet::End {
                    to: request.from.clone(),
                    incarnation: request.incarnation,
                    attempt: request.attempt,
                    result,
                });
                state.network.sort();
            }
            Packet::End {
                to,
                incarnation,
                attempt,
                result,
            } => {
                let is_receiver =
                    |instance: &Instance| instance.id == *to && instance.incarnation == *incarnation;
                let Some(index) = state.instances.iter().position(is_receiver) else {
                    return;
                };
                let end = TaskEnd {
                    key: self.submission.key.clone(),
                    attempt: *attempt,
                    result: result.clone(),
                    run_time: None,
                };
                state.handle(index, Input::Ended(end));
            }
        }
    }

    fn instance_steps(&self, state: &State, steps: &mut Vec<Step<State>>) {
        for index in 0..state.instances.len() {
            let instance = &state.instances[index];
            let id = &instance.id;
            let is_alive = instance.machine.is_some();
            if is_alive && state.budget.crashes > 0 {
                let mut next = state.clone();
                next.budget.crashes -= 1;
                next.instances[index].machine = None;
                steps.push(Step::new(format!("{id} crashes"), next));
            }
            if !is_alive && state.budget.restarts > 0 {
                let mut next = state.clone();
                next.budget.restarts -= 1;
                let instance = &mut next.instances[index];
                instance.incarnation = instance.incarnation.next();
                instance.is_reachable = true;
                instance.machine = Some(self.machine(instance));
                steps.push(Step::new(format!("{id} restarts"), next));
            }
            if is_alive && instance.is_reachable && state.budget.expiries > 0 {
                let mut next = state.clone();
                next.budget.expiries -= 1;
                next.instances[index].is_reachable = false;
                next.instances[index].clock = next.instances[index].lease_until;
                steps.push(Step::new(format!("{id} is cut off and its lease ends"), next));
            }
        }
        if state.budget.target_restarts > 0 {
            for index in 0..state.targets.len() {
                let mut next = state.clone();
                next.budget.target_restarts -= 1;
                next.targets[index].restart();
                steps.push(Step::new(format!("target {index} restarts"), next));
            }
        }
    }
}

impl Model for StartOnce {
    type State = State;

    fn initial(&self) -> State {
        let scenario = &self.scenario;
        let mut instances = Vec::new();
        for id in &self.members {
            instances.push(Instance {
                id: id.clone(),
                incarnation: Incarnation(1),
                machine: None,
                clock: Instant(0),
                lease_until: Instant(0),
                is_reachable: true,
            });
        }
        for instance in &mut instances {
            instance.machine = Some(self.machine(instance));
        }
        let targets = self.targets.iter().cloned().map(Target::new);
        let mut state = State::new(instances, targets.collect(), scenario.budget);
        let first_full = usize::from(scenario.members - scenario.full);
        state.view = view_of(1, &self.members, scenario.full);
        state
            .view
            .members
            .retain(|member| member.state == MemberState::Full);
        for index in first_full..usize::from(scenario.members) {
            install(&mut state, index);
        }
        while let Some(packet) = state.network.pop() {
            self.arrive(&mut state, &packet, false);
        }
        for instance in &mut state.instances {
            instance.clock = BEGIN;
            instance.lease_until = BEGIN + LEASE;
            let until = instance.lease_until;
            instance.handle(vec![Input::Lease { until }]);
        }
        if first_full > 0 {
            state.view = view_of(2, &self.members, scenario.full);
        }
        state
    }

    fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        self.caller_steps(state, &mut steps);
        self.network_steps(state, &mut steps);
        self.instance_steps(state, &mut steps);
        agreed::steps(state, &mut steps);
        for step in &mut steps {
            step.state.drop_ignored();
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        state.violation()
    }
}

/// Returns a key whose home is the first of `members`, and whose followers are the others in order.
fn ordered_key(members: &[InstanceId]) -> Result<JobKey, ParseError> {
    let view = view_of(1, members, members.len() as u8);
    let mut number = 0_u32;
    loop {
        let key: JobKey = format!("job-{number}").parse()?;
        let order = home_order(&view, KeyDigest::of(&key));
        if order.windows(2).all(|pair| pair[0].id < pair[1].id) {
            return Ok(key);
        }
        number += 1;
    }
}
