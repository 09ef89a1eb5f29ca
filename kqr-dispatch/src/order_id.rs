use std::fmt;

use kqr_types::Incarnation;
use serde::{Deserialize, Serialize};

/// Number of identifiers from an incarnation to the next higher one. Entries number their incarnations by their
/// start in milliseconds.
const ORDERS_PER_INCARNATION: u64 = 1 << 20;

/// Identifier of an order. It increases over all incarnations of the coordinating entry, so that siblings do
/// not take an order for one of an earlier incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

impl OrderId {
    /// Returns an identifier lower than all those of `incarnation`, and higher than those of earlier ones.
    pub(crate) const fn before(incarnation: Incarnation) -> Self {
        Self(incarnation.0.saturating_mul(ORDERS_PER_INCARNATION))
    }
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
