use std::time::Duration;

use kqr_types::Instant;
use serde::{Deserialize, Serialize};

/// Age of the last known renewal in whole seconds, as sent to a sibling.
///
/// It is rounded up past the present value, so that an age grows with each entry that passes it on and no set of
/// entries can keep a lost target alive by repeating its age to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(u8);

impl Age {
    /// The age from which a renewal tells nothing; the largest that fits 4 bits.
    pub const EXPIRED: Self = Self(15);

    /// Returns the age at `now` of a renewal at `heard`.
    pub fn at(now: Instant, heard: Instant) -> Self {
        let seconds = now.since(heard).as_secs().saturating_add(1);
        Self(seconds.min(u64::from(Self::EXPIRED.0)) as u8)
    }

    /// Returns the age of `bits`, of which the lower four count.
    pub const fn from_bits(bits: u8) -> Self {
        Self(bits & 0x0f)
    }

    /// Returns the age as a number below 16.
    pub const fn bits(self) -> u8 {
        self.0
    }

    /// Returns whether the target is gone at this age.
    pub const fn is_expired(self) -> bool {
        self.0 >= Self::EXPIRED.0
    }

    /// Returns the latest instant of the renewal, for a receiver at `now`.
    pub fn renewed_at(self, now: Instant) -> Instant {
        now - Duration::from_secs(u64::from(self.0))
    }
}
