use std::{collections::BTreeMap, time::Duration};

use kqr_types::{ClassName, Incarnation, InstanceId, Instant, JobKey, ServiceName, TaskIndex};
use kqr_wire::loans::{LentSlot, LoanRequest};

/// Time after which a loan expires unless its borrower renews it.
const LOAN_LEASE: Duration = Duration::from_secs(2);

/// Identifies a loan by an incarnation of its borrower and the number of the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanId {
    /// The borrower.
    pub borrower: InstanceId,
    /// Incarnation of the borrower.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub number: u64,
}

/// A slot of this instance that a sibling uses.
#[derive(Clone, Debug)]
pub struct Loan {
    /// Key of the job that uses the slot.
    pub key: JobKey,
    /// The task.
    pub task: TaskIndex,
    /// Service of the task.
    pub service: ServiceName,
    /// Class of the task.
    pub class: ClassName,
    /// The slot.
    pub slot: LentSlot,
    expires: Instant,
}

/// Slots that this instance has lent. Each counts as used here until it is returned or its lease expires.
#[derive(Debug, Default)]
pub struct LentSlots {
    loans: BTreeMap<LoanId, Loan>,
}

impl LentSlots {
    /// Returns the slot of an active loan.
    pub fn slot(&self, id: &LoanId) -> Option<&LentSlot> {
        self.loans.get(id).map(|loan| &loan.slot)
    }

    /// Records a loan.
    pub fn insert(&mut self, now: Instant, id: LoanId, request: LoanRequest, slot: LentSlot) {
        let loan = Loan {
            key: request.key,
            task: request.task,
            service: request.service,
            class: request.class,
            slot,
            expires: now + LOAN_LEASE,
        };
        self.loans.insert(id, loan);
    }

    /// Removes a loan and returns it, or `None` if it has ended already.
    pub fn remove(&mut self, id: &LoanId) -> Option<Loan> {
        self.loans.remove(id)
    }

    /// Renews the leases of the borrower's loans with these numbers.
    pub fn renew(&mut self, now: Instant, borrower: &InstanceId, incarnation: Incarnation, numbers: &[u64]) {
        for number in numbers {
            let id = LoanId {
                borrower: borrower.clone(),
                incarnation,
                number: *number,
            };
            if let Some(loan) = self.loans.get_mut(&id) {
                loan.expires = now + LOAN_LEASE;
            }
        }
    }

    /// Removes and returns the loans whose lease has expired.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Loan> {
        let mut expired = Vec::new();
        self.loans.retain(|_, loan| {
            let is_live = loan.expires > now;
            if !is_live {
                expired.push(loan.clone());
            }
            is_live
        });
        expired
    }
}
