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
pub(super) struct Calls {
    next: u64,
    open: BTreeMap<RequestId, Purpose>,
}

impl Calls {
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

    /// Returns whether a request for `purpose` is open.
    pub(super) fn is_open(&self, purpose: Purpose) -> bool {
        self.open.values().any(|open| *open == purpose)
    }
}
