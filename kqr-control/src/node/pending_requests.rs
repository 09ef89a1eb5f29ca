use std::collections::BTreeMap;

use kqr_agreement::RequestId;
use kqr_settings::ChangeId;

use super::CallId;

/// Purpose of a request to the replicated log.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// A change of the settings.
    Change { call: CallId, change: ChangeId },
    /// A change of a voter.
    ChangeVoters { call: CallId },
    /// A read of the highest version.
    Confirm { call: CallId },
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

    /// Removes a request and returns its purpose, if it was pending.
    pub(super) fn complete(&mut self, request: RequestId) -> Option<Purpose> {
        self.pending.remove(&request)
    }
}
