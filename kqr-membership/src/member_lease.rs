use kqr_types::{Epoch, Instant};

use crate::{Grant, Output};

/// Lease held by this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MemberLease {
    pub(crate) until: Instant,
    /// Highest epoch for which a lease was held.
    pub(crate) leased_epoch: Epoch,
}

impl MemberLease {
    /// Extends the lease by `grant` if that is for `epoch` and ends later.
    pub(crate) fn accept(&mut self, epoch: Epoch, grant: &Grant, outputs: &mut Vec<Output>) {
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
