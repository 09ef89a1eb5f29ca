use std::collections::BTreeSet;

use kqr_jobs::{Input, JobAnswer, JobMessage, JobState, NotAccepted, Outcome, Output, RefusalReason};
use kqr_types::{CellView, Epoch, MemberState, TargetId, TaskIndex};

use super::{
    member::Instance,
    packet::{Packet, ToTarget},
    scenario::Budget,
    target::{Target, result_of},
};

/// A state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    /// The instances of the cell.
    pub instances: Vec<Instance>,
    /// The agreed view.
    pub view: CellView,
    /// What is on its way, sorted.
    pub network: Vec<Packet>,
    /// The targets; each instance places tasks at its own one.
    pub targets: Vec<Target>,
    /// Events that may still happen.
    pub budget: Budget,
    /// Number of the last attempt of the caller.
    pub submitted: u32,
    /// Tasks that a caller was told are not run.
    told_not_run: BTreeSet<TaskIndex>,
    /// The final answer that a caller got.
    answer: Option<JobAnswer>,
    /// An invariant that an answer violated.
    broken: Option<&'static str>,
}

impl State {
    /// Creates the state before the first epoch.
    pub fn new(instances: Vec<Instance>, targets: Vec<Target>, budget: Budget) -> Self {
        Self {
            instances,
            view: CellView::default(),
            network: Vec::new(),
            targets,
            budget,
            submitted: 0,
            told_not_run: BTreeSet::new(),
            answer: None,
            broken: None,
        }
    }

    /// Returns the invariant that the state violates.
    pub fn violation(&self) -> Option<String> {
        if let Some(broken) = self.broken {
            return Some(broken.to_owned());
        }
        let mut started = BTreeSet::new();
        for target in &self.targets {
            for (task, starts) in &target.starts {
                if *starts > 1 || !started.insert(*task) {
                    return Some(format!("task {task} started twice"));
                }
            }
        }
        let false_not_run = started.intersection(&self.told_not_run).next();
        false_not_run.map(|task| format!("task {task} was started, and a caller was told that it is not run"))
    }

    /// Hands an input to the machine of an instance, places the tasks that it queues, and flushes.
    pub fn handle(&mut self, index: usize, input: Input) {
        let mut inputs = vec![input];
        let mut outputs = Vec::new();
        while !inputs.is_empty() {
            for output in self.instances[index].handle(std::mem::take(&mut inputs)) {
                let Output::Enqueue(tasks) = output else {
                    outputs.push(output);
                    continue;
                };
                for task in tasks {
                    inputs.push(Input::Placed {
                        key: task.key,
                        task: task.task,
                        target: self.targets[index].id.clone(),
                        incarnation: self.targets[index].incarnation,
                    });
                }
            }
        }
        outputs.extend(self.instances[index].handle(vec![Input::Flush]));
        for output in outputs {
            self.perform(index, output);
        }
        self.network.sort();
    }

    fn perform(&mut self, index: usize, output: Output) {
        let from = self.instances[index].id.clone();
        let incarnation = self.instances[index].incarnation;
        let targets = &self.targets;
        let request = |attempt, target: &TargetId, target_incarnation| ToTarget {
            from: from.clone(),
            incarnation,
            attempt,
            target: targets
                .iter()
                .position(|present| present.id == *target)
                .unwrap_or_default(),
            target_incarnation,
        };
        match output {
            Output::Start(start) => {
                let packet = request(start.attempt, &start.target, start.incarnation);
                self.network.push(Packet::Start(packet));
            }
            Output::Query {
                attempt,
                target,
                incarnation,
                ..
            } => self
                .network
                .push(Packet::Query(request(attempt, &target, incarnation))),
            Output::Send { to, message } => self.network.push(Packet::Peer {
                from,
                incarnation,
                to,
                message,
            }),
            Output::Synced { epoch } if epoch == self.view.epoch => self.promote(index),
            Output::Reply {
                answer: Ok(answer), ..
            } => self.answered(answer),
            Output::Reply {
                answer: Err(refused), ..
            } => self.refused(&refused),
            Output::Enqueue(_)
            | Output::Withdraw { .. }
            | Output::ReleaseSlot { .. }
            | Output::Stop { .. }
            | Output::Synced { .. } => {}
        }
    }

    /// Removes packets that their receivers would ignore for ever, so that states that differ in these only are one.
    pub fn drop_ignored(&mut self) {
        let instances = &self.instances;
        self.network.retain(|packet| match packet {
            Packet::Start(_) | Packet::Query(_) => true,
            Packet::Peer { to, message, .. } => {
                let receiver = instances.iter().find(|instance| instance.id == *to);
                let machine = receiver.and_then(|receiver| receiver.machine.as_ref());
                machine.is_some_and(|machine| machine.view().epoch <= epoch_of(message))
            }
            Packet::End { to, incarnation, .. } => instances.iter().any(|instance| {
                instance.id == *to && instance.incarnation == *incarnation && instance.machine.is_some()
            }),
        });
    }

    fn promote(&mut self, index: usize) {
        self.view.epoch = self.view.epoch.next();
        for member in &mut self.view.members {
            if member.id == self.instances[index].id {
                member.state = MemberState::Full;
            }
        }
    }

    fn answered(&mut self, answer: JobAnswer) {
        for task in &answer.tasks {
            let whole = (answer.state == JobState::Complete).then(|| result_of(task.task));
            if task.result != whole {
                self.broken = Some("an answer is partial");
            }
            if task.outcome == Outcome::NotRun {
                self.told_not_run.insert(task.task);
            }
        }
        if answer.state == JobState::Running {
            return;
        }
        if self
            .answer
            .as_ref()
            .is_some_and(|first| contradict(first, &answer))
        {
            self.broken = Some("two callers got answers of one job that contradict each other");
        }
        self.answer = Some(answer);
    }

    fn refused(&mut self, refused: &NotAccepted) {
        if refused.outcome == Outcome::NotRun && refused.reason != RefusalReason::KeyReused {
            self.told_not_run.insert(TaskIndex(0));
        }
    }
}

fn epoch_of(message: &JobMessage) -> Epoch {
    match message {
        JobMessage::Updates { epoch, .. } | JobMessage::Ack { epoch, .. } => *epoch,
    }
}

/// Returns whether two answers can't both be true. One that says `may-have-run` contradicts no other.
fn contradict(first: &JobAnswer, second: &JobAnswer) -> bool {
    let is_definite = |answer: &JobAnswer| {
        let mut tasks = answer.tasks.iter();
        tasks.all(|task| task.outcome != Outcome::MayHaveRun)
    };
    is_definite(first) && is_definite(second) && first != second
}
