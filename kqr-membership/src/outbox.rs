use std::collections::BTreeMap;

use kqr_types::InstanceId;

use crate::{Body, Cell, CellMessage, Output};

/// Message parts that one input causes an instance to send, by receiver.
pub(crate) type Outbox = BTreeMap<InstanceId, Vec<Body>>;

impl Cell {
    /// Queues `body` for `to`. It is sent after the other effects of the current input, in one message with
    /// all other parts for the same receiver.
    pub(crate) fn send(&mut self, to: &InstanceId, body: Body) {
        self.outbox.entry(to.clone()).or_default().push(body);
    }

    /// Emits one message for each receiver, with the grant that is pending for it, if any.
    pub(crate) fn flush_outbox(&mut self, outputs: &mut Vec<Output>) {
        for (to, mut bodies) in std::mem::take(&mut self.outbox) {
            let grant = self
                .leader_state
                .as_mut()
                .and_then(|leader_state| leader_state.pending_grants.remove(&to));
            bodies.extend(grant.map(Body::Grant));
            let message = Box::new(CellMessage {
                from: self.voter.clone(),
                group: self.group().map(crate::GroupId::digest),
                bodies,
            });
            outputs.push(Output::Send { to, message });
        }
    }
}
