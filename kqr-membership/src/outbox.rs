use std::collections::BTreeMap;

use kqr_types::InstanceId;

use crate::{Body, Cell, CellMessage, Output};

/// What one input makes an instance send, by receiver.
pub(crate) type Outbox = BTreeMap<InstanceId, Vec<Body>>;

impl Cell {
    /// Sends `body` to `to` after the other effects of the present input, together with all else that goes there.
    pub(crate) fn send(&mut self, to: &InstanceId, body: Body) {
        self.outbox.entry(to.clone()).or_default().push(body);
    }

    /// Puts out one message a receiver; leases that are due ride along.
    pub(crate) fn flush(&mut self, outputs: &mut Vec<Output>) {
        for (to, mut bodies) in std::mem::take(&mut self.outbox) {
            let owed = self.lead.as_mut().and_then(|lead| lead.owed.remove(&to));
            bodies.extend(owed.map(Body::Grant));
            let message = Box::new(CellMessage {
                from: self.voter.clone(),
                group: self.group().map(crate::GroupId::digest),
                bodies,
            });
            outputs.push(Output::Send { to, message });
        }
    }
}
