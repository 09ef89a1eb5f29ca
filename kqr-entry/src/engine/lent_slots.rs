use std::{collections::BTreeMap, time::Duration};

use kqr_types::{ClassName, Incarnation, InstanceId, Instant, JobKey, ServiceName, TaskIndex};
use kqr_wire::loans::{LentSlot, LoanRequest};

/// Time after which a loan ends that its borrower did not renew.
const LEASE: Duration = Duration::from_secs(2);

/// Identity of a loan: the borrower in one of its lives, and the number of its request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanId {
    /// The borrower.
    pub borrower: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub number: u64,
}

/// A slot of this instance that a sibling uses.
#[derive(Clone, Debug)]
pub struct Loan {
    /// Key of the job that it is used for.
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

/// The slots that this instance has lent. Each counts as used here until it is given back or its lease ends.
#[derive(Debug, Default)]
pub struct LentSlots {
    loans: BTreeMap<LoanId, Loan>,
}

impl LentSlots {
    /// Returns the slot of a loan.
    pub fn slot(&self, id: &LoanId) -> Option<&LentSlot> {
        self.loans.get(id).map(|loan| &loan.slot)
    }

    /// Records a loan.
    pub fn lend(&mut self, now: Instant, id: LoanId, request: LoanRequest, slot: LentSlot) {
        let loan = Loan {
            key: request.key,
            task: request.task,
            service: request.service,
            class: request.class,
            slot,
            expires: now + LEASE,
        };
        self.loans.insert(id, loan);
    }

    /// Ends a loan, if it has not ended yet.
    pub fn end(&mut self, id: &LoanId) -> Option<Loan> {
        self.loans.remove(id)
    }

    /// Renews the leases of the loans with these numbers.
    pub fn renew(&mut self, now: Instant, borrower: &InstanceId, incarnation: Incarnation, numbers: &[u64]) {
        for number in numbers {
            let id = LoanId {
                borrower: borrower.clone(),
                incarnation,
                number: *number,
            };
            if let Some(loan) = self.loans.get_mut(&id) {
                loan.expires = now + LEASE;
            }
        }
    }

    /// Ends the loans whose lease has ended.
    pub fn expire(&mut self, now: Instant) -> Vec<Loan> {
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
