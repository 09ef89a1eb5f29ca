use std::{collections::BTreeMap, sync::Arc};

use kqr_types::ClassName;

use crate::{
    Demand, PickFailure, Target,
    classes::ClassRunTime,
    free_map::FreeMap,
    long_work_capacity::{LongWorkCapacity, TargetSize},
    speed_ranking::{SpeedRanking, TakeResult},
};

/// The targets of one kind that serve one service.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Targets by their index in the free map.
    targets: Vec<Option<Arc<Target>>>,
    general_ranking: SpeedRanking,
    class_rankings: BTreeMap<ClassName, SpeedRanking>,
    target_sizes: Vec<TargetSize>,
}

impl Group {
    /// Adds a target. [`Group::rebuild`] must be called afterwards to rank it.
    pub fn add(&mut self, target: Arc<Target>) {
        let index = target.state.slots.index;
        if self.targets.len() <= index {
            self.targets.resize(index + 1, None);
        }
        let size = target.size();
        if !self.target_sizes.contains(&size) {
            self.target_sizes.push(size);
        }
        self.targets[index] = Some(target);
    }

    /// Rebuilds the rankings from the current speeds and shares.
    pub fn rebuild(&mut self, classes: Vec<ClassRunTime>) {
        self.general_ranking = SpeedRanking::new(&self.targets, None, 1.0);
        self.class_rankings.clear();
        for class in classes {
            let ranking = SpeedRanking::new(&self.targets, Some(&class.name), class.relative_run_time);
            self.class_rankings.insert(class.name, ranking);
        }
    }

    /// Returns the targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.iter().flatten()
    }

    /// Takes a slot for `demand`.
    pub fn pick(&self, free: &FreeMap, demand: &Demand<'_>) -> Result<Arc<Target>, PickFailure> {
        let class_ranking = demand.class.and_then(|class| self.class_rankings.get(class));
        let ranking = class_ranking.unwrap_or(&self.general_ranking);
        let found = if demand.is_long {
            let capacity = LongWorkCapacity::of(self.targets());
            ranking.take_long(&self.targets, free, demand, &capacity)
        } else {
            ranking.take(&self.targets, free, demand)
        };
        match found {
            TakeResult::Target(target) => Ok(target),
            TakeResult::FasterSlotExpected => Err(PickFailure::FasterSlotExpected),
            TakeResult::NoFreeSlot if self.avoids_all(demand) => Err(PickFailure::AllAvoided),
            TakeResult::NoFreeSlot if self.fits_any(demand) => Err(PickFailure::AllBusy),
            TakeResult::NoFreeSlot => Err(PickFailure::NoneFits),
        }
    }

    /// Returns whether at least one target is large enough and `demand` avoids every such target.
    fn avoids_all(&self, demand: &Demand<'_>) -> bool {
        if demand.avoid.is_empty() {
            return false;
        }
        let mut fitting = self.targets().filter(|target| target.fits(demand)).peekable();
        fitting.peek().is_some() && fitting.all(|target| demand.avoid.contains(&target.announcement.id))
    }

    fn fits_any(&self, demand: &Demand<'_>) -> bool {
        self.target_sizes.iter().any(|(cores, memory, accelerators)| {
            demand.cores <= *cores && demand.memory <= *memory && demand.accelerators <= *accelerators
        })
    }
}
