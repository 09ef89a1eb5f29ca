use std::time::Duration;

use super::{CellFault, CellInvariant};

/// How often each kind of event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CellBudget {
    /// Periods that pass.
    pub periods: u8,
    /// Times at which one instance is cut off from all others, and no other link is cut any more.
    pub isolations: u8,
    /// Links that are cut in one direction.
    pub cuts: u8,
    /// Times at which all cuts end.
    pub heals: u8,
    /// Links whose messages of one period are held back. What is never released is lost.
    pub holds: u8,
    /// Releases after which the held messages will arrive again.
    pub duplicates: u8,
    /// Crashes.
    pub crashes: u8,
    /// Restarts, without what the earlier life knew.
    pub restarts: u8,
    /// Crashes followed by restarts at once.
    pub reboots: u8,
    /// Times at which one instance is cut off and all others crash and restart.
    pub majority_losses: u8,
    /// Crashes of all instances at once, followed by restarts.
    pub outages: u8,
    /// Copies that are complete.
    pub syncs: u8,
    /// Instances that leave.
    pub leaves: u8,
}

/// What may happen in one search.
#[derive(Clone, Copy, Debug)]
pub struct CellScenario {
    /// Name, for a person.
    pub name: &'static str,
    /// Rate of each instance's clock in thousandths; one instance each.
    pub rates_per_mille: [u64; 3],
    /// Deviation of a clock's rate that the machines allow for, in thousandths.
    pub drift_per_mille: u32,
    /// Time between two points at which events may happen.
    pub period: Duration,
    /// How often each kind of event may happen.
    pub budget: CellBudget,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// The only invariant that is checked, or `None` for all.
    pub checked: Option<CellInvariant>,
    /// The fault, if any.
    pub fault: Option<CellFault>,
}
