use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_jobs::WaitingTask;
use kqr_placement::SiblingSelector;
use kqr_types::{InstanceId, Instant, JobKey, ServiceName, TargetId, TaskIndex};
use kqr_wire::loans::{LoanEnd, LoanReturn};

/// Number of free slots that a sibling must exceed, by its last report less the requests since, to be asked
/// for one.
const SIBLING_RESERVE_SLOTS: u32 = 16;
/// Time after which an unanswered request is abandoned and its task is queued at this instance again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between renewals of the loans in use, a fraction of their lease so that a lost renewal does not
/// end a loan.
const RENEWAL_PERIOD: Duration = Duration::from_millis(400);

/// A task and the target that it is placed on.
type Placement = (JobKey, TaskIndex, TargetId);

/// An unanswered request to a sibling for a slot for one task.
#[derive(Debug)]
struct PendingRequest {
    task: WaitingTask,
    sibling: InstanceId,
    expires: Instant,
}

/// A slot of a sibling that this instance uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BorrowedSlot {
    /// The sibling.
    pub sibling: InstanceId,
    /// Number of the loan request.
    pub number: u64,
}

/// Slots of siblings that this instance uses, and its pending requests for further ones.
#[derive(Debug, Default)]
pub struct BorrowedSlots {
    siblings: SiblingSelector,
    waiting_services: BTreeSet<ServiceName>,
    next_number: u64,
    requests: BTreeMap<u64, PendingRequest>,
    used: BTreeMap<Placement, BorrowedSlot>,
    returns: BTreeMap<InstanceId, Vec<LoanReturn>>,
    next_renewal: Instant,
}

impl BorrowedSlots {
    /// Records the number of free slots that a sibling reported.
    pub fn record_report(&mut self, now: Instant, sibling: InstanceId, free: u32) {
        self.siblings.record_report(now, sibling, free);
    }

    /// Records the services of waiting tasks.
    pub fn add_waiting_services(&mut self, tasks: &[WaitingTask]) {
        for task in tasks {
            if !self.waiting_services.contains(&task.service) {
                self.waiting_services.insert(task.service.clone());
            }
        }
    }

    /// Returns the services that were recorded and not removed since. Some may have no waiting task any more.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        self.waiting_services.iter().cloned().collect()
    }

    /// Removes a service without waiting tasks.
    pub fn remove_service(&mut self, service: &ServiceName) {
        self.waiting_services.remove(service);
    }

    /// Returns the sibling to ask for the next slot, if any has enough free slots.
    pub fn choose_sibling(&mut self, now: Instant) -> Option<InstanceId> {
        self.siblings.choose(now, SIBLING_RESERVE_SLOTS)
    }

    /// Records a request to `sibling` for a slot for `task` and returns its number.
    pub fn add_request(&mut self, now: Instant, sibling: InstanceId, task: WaitingTask) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let expires = now + ANSWER_TIMEOUT;
        self.requests.insert(
            number,
            PendingRequest {
                task,
                sibling,
                expires,
            },
        );
        number
    }

    /// Records that `sibling` has lent a slot of `target`. Returns the task that is placed on it, or `None`
    /// if the slot is no longer needed.
    pub fn accept_slot(
        &mut self,
        sibling: &InstanceId,
        number: u64,
        target: &TargetId,
    ) -> Option<WaitingTask> {
        let request = self.requests.get(&number)?;
        let placement = (request.task.key.clone(), request.task.task, target.clone());
        if request.sibling != *sibling || self.used.contains_key(&placement) {
            return None;
        }
        let request = self.requests.remove(&number)?;
        let slot = BorrowedSlot {
            sibling: sibling.clone(),
            number,
        };
        self.used.insert(placement, slot);
        Some(request.task)
    }

    /// Records that `sibling` lends no slot. Returns the task, which must be queued at this instance again.
    pub fn record_refusal(&mut self, now: Instant, sibling: &InstanceId, number: u64) -> Option<WaitingTask> {
        if self.requests.get(&number)?.sibling != *sibling {
            return None;
        }
        // Without free slots on record, the sibling is not asked again before its next report.
        self.siblings.record_report(now, sibling.clone(), 0);
        self.requests.remove(&number).map(|request| request.task)
    }

    /// Removes the pending requests for the tasks of a job.
    pub fn withdraw(&mut self, key: &JobKey) {
        self.requests.retain(|_, request| request.task.key != *key);
    }

    /// Removes the borrowed slot that a task was placed on and returns it, or `None` if the slot is not a
    /// borrowed one.
    pub fn remove_slot(&mut self, key: &JobKey, task: TaskIndex, target: &TargetId) -> Option<BorrowedSlot> {
        self.used.remove(&(key.clone(), task, target.clone()))
    }

    /// Queues a slot to be returned with the next report.
    pub fn add_return(&mut self, slot: BorrowedSlot, end: LoanEnd) {
        let number = slot.number;
        let returns = self.returns.entry(slot.sibling).or_default();
        returns.push(LoanReturn { number, end });
    }

    /// Removes the queued returns and returns them by sibling.
    pub fn take_returns(&mut self) -> BTreeMap<InstanceId, Vec<LoanReturn>> {
        std::mem::take(&mut self.returns)
    }

    /// Removes the requests that were not answered in time. Returns their tasks, which must be queued at this
    /// instance again.
    pub fn expire_requests(&mut self, now: Instant) -> Vec<WaitingTask> {
        let mut expired = Vec::new();
        for (number, request) in &self.requests {
            if request.expires <= now {
                expired.push(*number);
            }
        }
        let mut tasks = Vec::with_capacity(expired.len());
        for number in expired {
            let Some(request) = self.requests.remove(&number) else {
                continue;
            };
            self.siblings.remove(&request.sibling);
            tasks.push(request.task);
        }
        tasks
    }

    /// Returns the numbers of the loans in use by sibling if a renewal is due, and nothing otherwise.
    pub fn take_due_renewals(&mut self, now: Instant) -> BTreeMap<InstanceId, Vec<u64>> {
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
