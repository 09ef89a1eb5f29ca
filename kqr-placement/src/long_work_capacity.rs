use std::sync::Arc;

use kqr_types::ByteSize;

use crate::Target;

/// Cores, memory and accelerators of a target.
pub(crate) type TargetSize = (u32, ByteSize, u32);

/// Slot usage summed over all targets of one size.
#[derive(Clone, Copy, Debug, Default)]
struct SizeUsage {
    slots: u32,
    long_tasks: u32,
}

/// Target sizes with slots left for long work.
///
/// The limit is a fraction of the slots of all targets of one size, not of each target, so that long work can
/// fill slow targets and leave fast ones to short work.
#[derive(Debug)]
pub(crate) struct LongWorkCapacity {
    sizes: Vec<(TargetSize, SizeUsage)>,
}

impl LongWorkCapacity {
    /// Computes the remaining capacity from the slots and the long tasks of `targets`.
    pub fn of<'a, I>(targets: I) -> Self
    where
        I: IntoIterator<Item = &'a Arc<Target>>,
    {
        let mut sizes: Vec<(TargetSize, SizeUsage)> = Vec::new();
        for target in targets {
            let size = target.size();
            let position = sizes.iter().position(|(other, _)| *other == size);
            let position = position.unwrap_or_else(|| {
                sizes.push((size, SizeUsage::default()));
                sizes.len() - 1
            });
            let usage = &mut sizes[position].1;
            usage.slots += target.slot_limit();
            usage.long_tasks += target.long_tasks();
        }
        sizes.retain(|(_, usage)| usage.long_tasks < long_slot_limit(usage.slots));
        Self { sizes }
    }

    /// Returns whether long work may take a slot on targets of the same size as `target`.
    pub fn has_slots_at(&self, target: &Target) -> bool {
        self.sizes.iter().any(|(size, _)| *size == target.size())
    }
}

/// Returns how many of `slots` long work may use.
pub(crate) fn long_slot_limit(slots: u32) -> u32 {
    ((f64::from(slots) * Target::LONG_SLOT_FRACTION) as u32).max(1)
}
