use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// Resources that a task needs or that a target provides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `needs` fits into these resources.
    pub const fn can_fit(&self, needs: &Self) -> bool {
        needs.cpu_milli <= self.cpu_milli
            && needs.memory_mib <= self.memory_mib
            && needs.accelerators <= self.accelerators
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max_of_each(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns how often `needs` fits into these resources, but at most `max`. Resources that are not needed set no limit.
    pub fn times_fitting(&self, needs: &Self, max: u32) -> u32 {
        let counts = [
            self.cpu_milli.checked_div(needs.cpu_milli),
            self.memory_mib.checked_div(needs.memory_mib),
            self.accelerators.checked_div(needs.accelerators),
        ];
        let least = counts.into_iter().flatten().min();
        least.map_or(max, |least| u32::try_from(least).unwrap_or(u32::MAX).min(max))
    }

    /// Returns `count` times these resources, at most the largest that can be represented.
    #[must_use]
    pub const fn times(&self, count: u32) -> Self {
        let count = count as u64;
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(rhs.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(rhs.memory_mib),
            accelerators: self.accelerators.saturating_add(rhs.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Resources {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(rhs.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(rhs.memory_mib),
            accelerators: self.accelerators.saturating_sub(rhs.accelerators),
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, rhs: Self) {
        *self = *self - rhs;
    }
}
