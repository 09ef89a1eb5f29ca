//! Loans of single slots between siblings: borrows slots for tasks that find none free at this instance, and
//! lends free slots to siblings.

use std::sync::Arc;

use kqr_admission::{AttemptResult, EndedAttempt};
use kqr_jobs::{Input, StartTask, TaskEnd, TaskResult, WaitingTask};
use kqr_placement::{Demand, TargetKind};
use kqr_telemetry::{EventKind, WastedMessage};
use kqr_types::{Incarnation, InstanceId, Instant, JobKey, TargetId, TaskIndex};
use kqr_wire::{
    entry_message::EntryMessage,
    loans::{LentSlot, LoanAnswer, LoanEnd, LoanRequest, LoanReturn},
};

use super::{
    Engine,
    borrowed_slots::BorrowedSlot,
    lent_slots::{Loan, LoanId},
    lock,
    pending_work::PendingWork,
    shard_of,
};

/// Kind of the targets that run tasks.
const TASK_TARGET_KIND: TargetKind = TargetKind::Worker;

impl Engine {
    /// Records the number of free slots that a sibling reported.
    pub fn record_sibling_report(&self, sibling: InstanceId, free: u32) {
        lock(&self.borrowed).record_report(self.clock.now(), sibling, free);
    }

    /// Requests slots from siblings with many free ones for waiting tasks whose service has no free slot at
    /// this instance.
    pub(super) fn borrow_slots(&self) {
        let now = self.clock.now();
        let services = lock(&self.borrowed).waiting_services();
        for service in services {
            loop {
                let mut queue = lock(&self.queue);
                let mut borrowed = lock(&self.borrowed);
                if queue.waiting_tasks(&service) == 0 {
                    borrowed.remove_service(&service);
                    break;
                }
                if self.table.free_slots(&service, TASK_TARGET_KIND) > 0 {
                    break;
                }
                let Some(sibling) = borrowed.choose_sibling(now) else {
                    return;
                };
                let Some(task) = queue.take_forwardable_tasks(now, &service, 1).pop() else {
                    break;
                };
                let number = borrowed.add_request(now, sibling.clone(), task.clone());
                drop((queue, borrowed));
                self.send_loan_request(&sibling, number, task);
            }
        }
    }

    fn send_loan_request(&self, sibling: &InstanceId, number: u64, task: WaitingTask) {
        let mut event = self.events.new_event(EventKind::Forwarded);
        event.key = Some(task.key.clone());
        event.peer = Some(sibling.clone());
        event.detail = Some(format!("requests a slot for task {}", task.task));
        self.events.record(event);
        let request = LoanRequest {
            number,
            key: task.key,
            task: task.task,
            service: task.service,
            class: task.spec.class,
            cores: task.spec.cores,
            memory: task.spec.memory,
            accelerators: task.spec.accelerators,
            avoid: task.avoid,
        };
        self.enqueue_wasted(sibling, EntryMessage::LoanRequest(request));
    }

    /// Lends a slot to a sibling if one is free and no task of the service waits at this instance. A repeated
    /// request gets the slot of the existing loan.
    pub fn handle_loan_request(&self, borrower: &InstanceId, incarnation: Incarnation, request: LoanRequest) {
        let number = request.number;
        let id = LoanId {
            borrower: borrower.clone(),
            incarnation,
            number,
        };
        let now = self.clock.now();
        let mut lent = lock(&self.lent);
        let mut slot = lent.slot(&id).cloned();
        if slot.is_none() {
            slot = self.take_slot(&request);
            if let Some(slot) = &slot {
                lent.insert(now, id, request, slot.clone());
            }
        }
        drop(lent);
        self.enqueue_wasted(borrower, EntryMessage::LoanAnswer(LoanAnswer { number, slot }));
    }

    fn take_slot(&self, request: &LoanRequest) -> Option<LentSlot> {
        let service = &request.service;
        // Long work is confined to its bounded fraction of the slots that are leased to its home, which can
        // throttle it.
        let is_long = self.table.classes().is_long(service, &request.class);
        if is_long || self.waiting_tasks(service) > 0 {
            return None;
        }
        let demand = Demand {
            cores: request.cores,
            memory: request.memory,
            accelerators: request.accelerators,
            class: Some(&request.class),
            avoid: &request.avoid,
            waiting_tasks: None,
            is_long,
            spread_seed: request.number as u32,
        };
        let target = self.table.pick(service, TASK_TARGET_KIND, &demand).ok()?;
        Some(LentSlot {
            target: target.announcement.id.clone(),
            incarnation: target.announcement.incarnation,
        })
    }

    /// Places the task of a loan request on the lent slot, or queues it again if the sibling lends none.
    pub fn handle_loan_answer(self: &Arc<Self>, sibling: &InstanceId, answer: LoanAnswer) {
        let LoanAnswer { number, slot } = answer;
        let mut work = PendingWork::default();
        let now = self.clock.now();
        let Some(LentSlot { target, incarnation }) = slot else {
            let refused = lock(&self.borrowed).record_refusal(now, sibling, number);
            self.requeue(now, refused.into_iter().collect(), &mut work);
            self.process(work);
            return;
        };
        let placed = lock(&self.borrowed).accept_slot(sibling, number, &target);
        let Some(task) = placed else {
            let slot = BorrowedSlot {
                sibling: sibling.clone(),
                number,
            };
            lock(&self.borrowed).add_return(slot, LoanEnd::Unused);
            return;
        };
        let input = Input::Placed {
            key: task.key.clone(),
            task: task.task,
            target,
            incarnation,
        };
        self.apply(shard_of(&task.key), input, &mut work);
        self.process(work);
    }

    /// Releases the slot of a placed task that was not started. A borrowed slot is returned to its lender.
    pub(super) fn release_slot(&self, key: &JobKey, task: TaskIndex, target: &TargetId) {
        let borrowed = lock(&self.borrowed).remove_slot(key, task, target);
        match borrowed {
            Some(slot) => lock(&self.borrowed).add_return(slot, LoanEnd::Unused),
            None => lock(&self.queue).release_unused_slot(&self.table, key, task, target),
        }
    }

    /// Returns the slot of an ended attempt to its lender. Returns false if the slot was not borrowed.
    pub(super) fn return_borrowed_slot(&self, start: &StartTask, end: &TaskEnd) -> bool {
        let (key, task) = (&start.key, start.attempt.task);
        let borrowed = lock(&self.borrowed).remove_slot(key, task, &start.target);
        let Some(slot) = borrowed else { return false };
        let loan_end = match end.result {
            TaskResult::Completed(_) => LoanEnd::Completed(end.run_time),
            TaskResult::Failed(_) => LoanEnd::Failed,
            TaskResult::NotStarted(_) => LoanEnd::NotStarted,
            TaskResult::Unknown(_) => LoanEnd::Unknown,
        };
        if let LoanEnd::Completed(Some(run_time)) = loan_end {
            self.table
                .record_run_time(&start.service, &start.spec.class, &start.target, run_time);
        }
        lock(&self.borrowed).add_return(slot, loan_end);
        true
    }

    /// Sends the queued returns of borrowed slots. Should be called right before a report of shares is sent,
    /// so that both travel in one batch.
    pub fn send_loan_returns(&self) {
        let returns = lock(&self.borrowed).take_returns();
        for (sibling, returned) in returns {
            self.outbox.enqueue(&sibling, EntryMessage::LoanReturns(returned));
        }
    }

    /// Ends the loans whose slots a sibling has returned.
    pub fn handle_loan_returns(
        self: &Arc<Self>,
        borrower: &InstanceId,
        incarnation: Incarnation,
        returned: Vec<LoanReturn>,
    ) {
        for LoanReturn { number, end } in returned {
            let id = LoanId {
                borrower: borrower.clone(),
                incarnation,
                number,
            };
            let loan = lock(&self.lent).remove(&id);
            if let Some(loan) = loan {
                self.release_lent_slot(loan, end);
            }
        }
        self.process(PendingWork::with_dispatch());
    }

    /// Renews the loans that a sibling still uses.
    pub fn renew_loans(&self, borrower: &InstanceId, incarnation: Incarnation, numbers: &[u64]) {
        lock(&self.lent).renew(self.clock.now(), borrower, incarnation, numbers);
    }

    /// Abandons unanswered requests, renews the borrowed slots in use, and ends the loans that siblings did
    /// not renew.
    pub(super) fn tick_loans(&self, work: &mut PendingWork) {
        let now = self.clock.now();
        let mut borrowed = lock(&self.borrowed);
        let unanswered = borrowed.expire_requests(now);
        let renewals = borrowed.take_due_renewals(now);
        drop(borrowed);
        self.requeue(now, unanswered, work);
        for (sibling, numbers) in renewals {
            self.outbox.enqueue(&sibling, EntryMessage::LoansInUse(numbers));
        }
        let expired = lock(&self.lent).remove_expired(now);
        for loan in expired {
            self.release_lent_slot(loan, LoanEnd::Unknown);
        }
    }

    /// Returns tasks to the queue of this instance.
    fn requeue(&self, now: Instant, tasks: Vec<WaitingTask>, work: &mut PendingWork) {
        if tasks.is_empty() {
            return;
        }
        lock(&self.borrowed).add_waiting_services(&tasks);
        lock(&self.queue).push(now, &self.table, tasks);
        work.is_dispatch_due = true;
    }

    fn release_lent_slot(&self, loan: Loan, end: LoanEnd) {
        let (result, run_time) = match end {
            LoanEnd::Unused => {
                self.table.release_slot(&loan.slot.target);
                return;
            }
            LoanEnd::Completed(run_time) => (AttemptResult::Completed, run_time),
            LoanEnd::Failed => (AttemptResult::Failed, None),
            LoanEnd::NotStarted => (AttemptResult::NotStarted, None),
            LoanEnd::Unknown => (AttemptResult::Unknown, None),
        };
        let ended = EndedAttempt {
            key: loan.key,
            task: loan.task,
            service: loan.service,
            class: loan.class,
            target: loan.slot.target,
            result,
            run_time,
        };
        lock(&self.queue).end_attempt(self.clock.now(), &self.table, &ended);
    }

    /// Queues a message and counts it as wasted, since it is not the one start or the one answer of a task.
    fn enqueue_wasted(&self, to: &InstanceId, mail: EntryMessage) {
        self.metrics.count_wasted_message(WastedMessage::Forward);
        self.outbox.enqueue(to, mail);
    }
}
