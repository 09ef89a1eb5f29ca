use kqr_types::{Epoch, Instant};

use crate::{Grant, Output};

/// The lease that this instance holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MemberLease {
    pub(crate) until: Instant,
    /// Highest epoch that a lease was held of.
    pub(crate) leased_epoch: Epoch,
}

impl MemberLease {
    /// Takes over a lease of `epoch`.
    pub(crate) fn take(&mut self, epoch: Epoch, grant: &Grant, outputs: &mut Vec<Output>) {
        let until = grant.asked + grant.lease;
        if grant.epoch != epoch || until <= self.until {
            return;
        }
        self.until = until;
        self.leased_epoch = epoch;
        outputs.push(Output::Lease { until });
    }

    /// Ends the lease at `now`.
    pub(crate) fn end(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.until > now {
            self.until = now;
            outputs.push(Output::Lease { until: now });
        }
    }
}
