use std::collections::BTreeMap;

use kqr_agreement::RequestId;
use kqr_settings::ChangeId;

use super::CallId;

/// What a request to the replicated log is made for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// A change.
    Change { call: CallId, change: ChangeId },
    /// A change of a voter.
    Voters { call: CallId },
    /// A read of the highest version.
    Confirm { call: CallId },
}

/// Requests to the replicated log that have not ended.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    next: u64,
    open: BTreeMap<RequestId, Purpose>,
}

impl PendingRequests {
    /// Numbers a request that is made for `purpose`.
    pub(super) fn open(&mut self, purpose: Purpose) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        self.open.insert(request, purpose);
        request
    }

    /// Ends a request and returns what it was made for.
    pub(super) fn close(&mut self, request: RequestId) -> Option<Purpose> {
        self.open.remove(&request)
    }
}
