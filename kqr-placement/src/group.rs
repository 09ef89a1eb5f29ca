use std::{collections::BTreeMap, sync::Arc};

use kqr_types::ClassName;

use crate::{
    Demand, PickFailure, Target,
    classes::ClassLength,
    free_map::FreeMap,
    long_room::{LongRoom, TargetSize},
    order::{Found, Order},
};

/// The targets of one kind that serve one service.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Targets by their position in the map of free targets.
    targets: Vec<Option<Arc<Target>>>,
    general: Order,
    classes: BTreeMap<ClassName, Order>,
    sizes: Vec<TargetSize>,
}

impl Group {
    /// Adds a target; the orders are built by [`Group::rebuild`].
    pub fn add(&mut self, target: Arc<Target>) {
        let index = target.state.slots.index;
        if self.targets.len() <= index {
            self.targets.resize(index + 1, None);
        }
        let size = target.size();
        if !self.sizes.contains(&size) {
            self.sizes.push(size);
        }
        self.targets[index] = Some(target);
    }

    /// Builds the orders by the present speeds and shares.
    pub fn rebuild(&mut self, classes: Vec<ClassLength>) {
        self.general = Order::new(&self.targets, None, 1.0);
        self.classes.clear();
        for class in classes {
            let order = Order::new(&self.targets, Some(&class.name), class.length);
            self.classes.insert(class.name, order);
        }
    }

    /// Returns the targets.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.iter().flatten()
    }

    /// Takes a slot for `demand`.
    pub fn pick(&self, free: &FreeMap, demand: &Demand<'_>) -> Result<Arc<Target>, PickFailure> {
        let own = demand.class.and_then(|class| self.classes.get(class));
        let order = own.unwrap_or(&self.general);
        let found = if demand.is_long {
            let room = LongRoom::of(self.targets());
            order.take_long(&self.targets, free, demand, &room)
        } else {
            order.take(&self.targets, free, demand)
        };
        match found {
            Found::Target(target) => Ok(target),
            Found::FasterSlotExpected => Err(PickFailure::FasterSlotExpected),
            Found::Nothing if self.avoids_all(demand) => Err(PickFailure::AllAvoided),
            Found::Nothing if self.fits_any(demand) => Err(PickFailure::AllBusy),
            Found::Nothing => Err(PickFailure::NoneFits),
        }
    }

    /// Returns whether there are targets that are large enough, all of which `demand` avoids.
    fn avoids_all(&self, demand: &Demand<'_>) -> bool {
        if demand.avoid.is_empty() {
            return false;
        }
        let mut fitting = self.targets().filter(|target| target.fits(demand)).peekable();
        fitting.peek().is_some() && fitting.all(|target| demand.avoid.contains(&target.announcement.id))
    }

    fn fits_any(&self, demand: &Demand<'_>) -> bool {
        self.sizes.iter().any(|(cores, memory, accelerators)| {
            demand.cores <= *cores && demand.memory <= *memory && demand.accelerators <= *accelerators
        })
    }
}
