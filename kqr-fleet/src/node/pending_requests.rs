use std::collections::BTreeMap;

use kqr_types::TargetId;

use kqr_agreement::RequestId;

use super::CallId;

/// Purpose of a request to the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Replaces the catalog.
    Replace(CallId),
    /// Reads the catalog, so that the result reflects all accepted ones.
    Read(CallId),
    /// Begins or finishes the evacuation of a data centre.
    Evacuate(CallId),
    /// Records that a target is about to leave.
    Leave(CallId, TargetId),
    /// Assigns owners to targets or removes targets.
    Plan,
    /// Changes a voter.
    Voters,
}

/// Requests to the replicated log that have not completed.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    last_id: u64,
    pending: BTreeMap<RequestId, Purpose>,
}

impl PendingRequests {
    /// Registers a request for `purpose` and returns its identifier.
    pub(super) fn register(&mut self, purpose: Purpose) -> RequestId {
        self.last_id += 1;
        let request = RequestId(self.last_id);
        self.pending.insert(request, purpose);
        request
    }

    /// Removes a request and returns its purpose.
    pub(super) fn complete(&mut self, request: RequestId) -> Option<Purpose> {
        self.pending.remove(&request)
    }

    /// Returns whether a request for `purpose` is pending.
    pub(super) fn is_pending(&self, purpose: &Purpose) -> bool {
        self.pending.values().any(|pending| pending == purpose)
    }
}
