use std::sync::Arc;

use kqr_types::ByteSize;

use crate::Target;

/// Cores, memory and accelerators of a target.
pub(crate) type TargetSize = (u32, ByteSize, u32);

/// Use of the slots of all targets of one size.
#[derive(Clone, Copy, Debug, Default)]
struct SizeUse {
    slots: u32,
    long: u32,
}

/// Tells at which targets long work may take a slot: it gets a bounded part of the slots of all targets of one size, so
/// that it can fill slow targets and leave fast ones to short work.
#[derive(Debug)]
pub(crate) struct LongRoom {
    uses: Vec<(TargetSize, SizeUse)>,
}

impl LongRoom {
    /// Counts the slots and the long work of `targets`.
    pub fn of<'a, I>(targets: I) -> Self
    where
        I: IntoIterator<Item = &'a Arc<Target>>,
    {
        let mut uses: Vec<(TargetSize, SizeUse)> = Vec::new();
        for target in targets {
            let size = target.size();
            let position = uses.iter().position(|(other, _)| *other == size);
            let position = position.unwrap_or_else(|| {
                uses.push((size, SizeUse::default()));
                uses.len() - 1
            });
            let own = &mut uses[position].1;
            own.slots += target.slot_limit();
            own.long += target.long_tasks();
        }
        uses.retain(|(_, own)| own.long < long_bound(own.slots));
        Self { uses }
    }

    /// Returns whether long work may take a slot of targets of the size of `target`.
    pub fn is_at(&self, target: &Target) -> bool {
        self.uses.iter().any(|(size, _)| *size == target.size())
    }
}

/// Returns the number of `slots` that long work may use.
pub(crate) fn long_bound(slots: u32) -> u32 {
    ((f64::from(slots) * Target::LONG_SLOT_FRACTION) as u32).max(1)
}
