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
