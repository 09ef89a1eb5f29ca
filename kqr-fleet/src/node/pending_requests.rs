use std::collections::BTreeMap;

use kqr_agreement::RequestId;

use super::CallId;

/// What a request to the replicated log is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A new catalog.
    Replace(CallId),
    /// A read that must reflect all accepted catalogs.
    Read(CallId),
    /// Owners of targets.
    Plan,
    /// A change of a voter.
    Voters,
}

/// Requests to the replicated log that have not ended.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    last_id: u64,
    pending: BTreeMap<RequestId, Purpose>,
}

impl PendingRequests {
    /// Numbers a request that is made for `purpose`.
    pub(super) fn register(&mut self, purpose: Purpose) -> RequestId {
        self.last_id += 1;
        let request = RequestId(self.last_id);
        self.pending.insert(request, purpose);
        request
    }

    /// Ends a request and returns what it was made for.
    pub(super) fn complete(&mut self, request: RequestId) -> Option<Purpose> {
        self.pending.remove(&request)
    }

    /// Returns whether a request for `purpose` is open.
    pub(super) fn is_pending(&self, purpose: Purpose) -> bool {
        self.pending.values().any(|pending| *pending == purpose)
    }
}
