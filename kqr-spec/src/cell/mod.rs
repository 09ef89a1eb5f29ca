//! Specification of the cell: leases of two epochs are never held at once, epochs never go back, and a member counts
//! only after it has copied what it missed.
//!
//! The state holds the real machines of all instances. Time passes in periods; in each of them every instance ticks
//! several times and what is sent arrives at once, in order. Between two periods links are cut, messages are held back
//! or released, and instances crash, restart, leave or report their copy complete, each as often as the budget allows.

mod clock;
mod fault;
mod history;
mod invariant;
mod model;
mod node;
mod packet;
mod scenario;
mod state;

pub use fault::CellFault;
pub use invariant::CellInvariant;
pub use model::CellModel;
pub use scenario::{CellBudget, CellScenario};
pub use state::CellModelState;
