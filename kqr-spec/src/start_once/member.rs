use std::sync::Arc;

use kqr_jobs::{Input, Machine, Output};
use kqr_types::{Incarnation, InstanceId, Instant, MemberState};

/// One instance of the cell with the machine of its present life.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance {
    /// Its id.
    pub id: InstanceId,
    /// Number of its present or last life.
    pub incarnation: Incarnation,
    /// The machine, or `None` after a crash.
    pub machine: Option<Arc<Machine>>,
    /// Its clock.
    pub clock: Instant,
    /// End of its lease on its clock.
    pub lease_until: Instant,
    /// Whether the cell renews its lease.
    pub is_reachable: bool,
}

impl Instance {
    /// Returns whether the lease of the member has ended for certain.
    pub fn is_lease_over(&self) -> bool {
        self.machine.is_none() || self.clock >= self.lease_until
    }

    /// Returns the state of this life in the view that it installed.
    pub fn state(&self) -> Option<MemberState> {
        let view = self.machine.as_ref()?.view();
        let member = view.member(&self.id)?;
        (member.incarnation == self.incarnation).then_some(member.state)
    }

    /// Hands inputs to the machine.
    pub fn handle(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        let mut outputs = Vec::new();
        let Some(machine) = &mut self.machine else {
            return outputs;
        };
        let machine = Arc::make_mut(machine);
        for input in inputs {
            machine.handle(self.clock, input, &mut outputs);
        }
        outputs
    }
}
