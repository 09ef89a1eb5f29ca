use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_jobs::WaitingTask;
use kqr_placement::SiblingSelector;
use kqr_types::{InstanceId, Instant, JobKey, ServiceName, TargetId, TaskIndex};
use kqr_wire::loans::{LoanEnd, LoanReturn};

/// Free slots that a sibling must have reported beyond those that were asked for since.
const RESERVE: u32 = 16;
/// Time after which a request without an answer is given up; its task waits here again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two renewals of the loans in use. It is a part of their lease, so that a lost one does no harm.
const RENEWAL_PERIOD: Duration = Duration::from_millis(400);

/// A task and the target whose slot it was given.
type Placement = (JobKey, TaskIndex, TargetId);

/// A task for which a sibling was asked for a slot.
#[derive(Debug)]
struct Asked {
    task: WaitingTask,
    sibling: InstanceId,
    until: Instant,
}

/// A slot of a sibling that this instance uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BorrowedSlot {
    /// The sibling.
    pub sibling: InstanceId,
    /// Number of the request.
    pub number: u64,
}

/// The slots of siblings that this instance uses, and the tasks for which it has asked for one.
#[derive(Debug, Default)]
pub struct BorrowedSlots {
    siblings: SiblingSelector,
    services: BTreeSet<ServiceName>,
    next_number: u64,
    asked: BTreeMap<u64, Asked>,
    used: BTreeMap<Placement, BorrowedSlot>,
    returns: BTreeMap<InstanceId, Vec<LoanReturn>>,
    next_renewal: Instant,
}

impl BorrowedSlots {
    /// Takes in the number of free slots that a sibling reported.
    pub fn reported(&mut self, now: Instant, sibling: InstanceId, free: u32) {
        self.siblings.record_report(now, sibling, free);
    }

    /// Notes that tasks of a service wait.
    pub fn note_waiting(&mut self, tasks: &[WaitingTask]) {
        for task in tasks {
            if !self.services.contains(&task.service) {
                self.services.insert(task.service.clone());
            }
        }
    }

    /// Returns the services that tasks have waited for since they were forgotten last.
    pub fn services(&self) -> Vec<ServiceName> {
        self.services.iter().cloned().collect()
    }

    /// Forgets a service that no task waits for.
    pub fn forget_service(&mut self, service: &ServiceName) {
        self.services.remove(service);
    }

    /// Returns the sibling that is asked for the next slot.
    pub fn choose(&mut self, now: Instant) -> Option<InstanceId> {
        self.siblings.choose(now, RESERVE)
    }

    /// Records that `sibling` is asked for a slot for `task`, and returns the number of the request.
    pub fn ask(&mut self, now: Instant, sibling: InstanceId, task: WaitingTask) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let until = now + ANSWER_TIMEOUT;
        self.asked.insert(number, Asked { task, sibling, until });
        number
    }

    /// Takes in that `sibling` lent a slot of `target`. Returns the task that was placed; `None` if the slot is not
    /// needed any more.
    pub fn lent(&mut self, sibling: &InstanceId, number: u64, target: &TargetId) -> Option<WaitingTask> {
        let asked = self.asked.get(&number)?;
        let placement = (asked.task.key.clone(), asked.task.task, target.clone());
        if asked.sibling != *sibling || self.used.contains_key(&placement) {
            return None;
        }
        let asked = self.asked.remove(&number)?;
        let slot = BorrowedSlot {
            sibling: sibling.clone(),
            number,
        };
        self.used.insert(placement, slot);
        Some(asked.task)
    }

    /// Takes in that `sibling` lends no slot. Returns the task, which waits here again.
    pub fn refused(&mut self, now: Instant, sibling: &InstanceId, number: u64) -> Option<WaitingTask> {
        if self.asked.get(&number)?.sibling != *sibling {
            return None;
        }
        // The sibling is not asked again before its next report.
        self.siblings.record_report(now, sibling.clone(), 0);
        self.asked.remove(&number).map(|asked| asked.task)
    }

    /// Forgets the requests for tasks of a job.
    pub fn withdraw(&mut self, key: &JobKey) {
        self.asked.retain(|_, asked| asked.task.key != *key);
    }

    /// Returns the borrowed slot that a placed task was given, which is not used from now on.
    pub fn end(&mut self, key: &JobKey, task: TaskIndex, target: &TargetId) -> Option<BorrowedSlot> {
        self.used.remove(&(key.clone(), task, target.clone()))
    }

    /// Notes that a slot is to be given back with the next report.
    pub fn give_back(&mut self, slot: BorrowedSlot, end: LoanEnd) {
        let number = slot.number;
        let returns = self.returns.entry(slot.sibling).or_default();
        returns.push(LoanReturn { number, end });
    }

    /// Returns what is given back to each sibling.
    pub fn take_returns(&mut self) -> BTreeMap<InstanceId, Vec<LoanReturn>> {
        std::mem::take(&mut self.returns)
    }

    /// Returns the tasks whose requests were not answered in time; they wait here again.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitingTask> {
        let mut expired = Vec::new();
        for (number, asked) in &self.asked {
            if asked.until <= now {
                expired.push(*number);
            }
        }
        let mut tasks = Vec::with_capacity(expired.len());
        for number in expired {
            let Some(asked) = self.asked.remove(&number) else {
                continue;
            };
            self.siblings.remove(&asked.sibling);
            tasks.push(asked.task);
        }
        tasks
    }

    /// Returns the numbers of the loans in use for each sibling, once a period.
    pub fn renewals(&mut self, now: Instant) -> BTreeMap<InstanceId, Vec<u64>> {
        let mut renewals: BTreeMap<InstanceId, Vec<u64>> = BTreeMap::new();
        if now < self.next_renewal {
            return renewals;
        }
        self.next_renewal = now + RENEWAL_PERIOD;
        for slot in self.used.values() {
            renewals
                .entry(slot.sibling.clone())
                .or_default()
                .push(slot.number);
        }
        renewals
    }
}
