//! Specification of the replicated log: one leader a term, and what is applied is never lost, reordered or taken back.
//!
//! The state holds the real machines, what they have persisted, and the messages under way. Clocks are independent of
//! each other; a message that is never delivered is lost.

mod model;
mod node;
mod scenario;
mod state;

pub use model::Agreement;
pub use scenario::{AgreementBudget, AgreementFault, AgreementScenario};
pub use state::AgreementState;
