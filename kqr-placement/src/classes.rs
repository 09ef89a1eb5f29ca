use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use kqr_types::{ClassName, ServiceName};

use crate::ClassStats;

type Book = BTreeMap<ServiceName, BTreeMap<ClassName, Arc<ClassStats>>>;

/// Run time of a class in relation to the mean of all classes of its service.
#[derive(Clone, Debug)]
pub(crate) struct ClassLength {
    pub name: ClassName,
    pub length: f64,
}

/// Learned run times of all classes, read without locks.
#[derive(Debug, Default)]
pub struct Classes {
    book: ArcSwap<Book>,
}

impl Classes {
    /// Most classes of a service that are told apart; further names share no statistics.
    pub const MAX_CLASSES_PER_SERVICE: usize = 256;
    /// A class is long if its median is this many times the typical one of its service.
    const LONG_FACTOR: f64 = 8.0;

    /// Returns the statistics of a class, if any task of it has ended.
    pub fn get(&self, service: &ServiceName, class: &ClassName) -> Option<Arc<ClassStats>> {
        self.book.load().get(service)?.get(class).cloned()
    }

    /// Returns the statistics of a class and adds them if there is room.
    pub(crate) fn get_or_add(
        &self,
        service: &ServiceName,
        class: &ClassName,
        guess: Duration,
    ) -> Option<Arc<ClassStats>> {
        if let Some(stats) = self.get(service, class) {
            return Some(stats);
        }
        self.book.rcu(|present| {
            let mut next = Book::clone(present);
            let classes = next.entry(service.clone()).or_default();
            if classes.len() < Self::MAX_CLASSES_PER_SERVICE {
                let stats = || Arc::new(ClassStats::new(guess));
                classes.entry(class.clone()).or_insert_with(stats);
            }
            next
        });
        self.get(service, class)
    }

    /// Returns the classes of `service` with their run times in relation to the mean of all.
    pub(crate) fn lengths(&self, service: &ServiceName) -> Vec<ClassLength> {
        let book = self.book.load();
        let Some(classes) = book.get(service) else {
            return Vec::new();
        };
        let known = |stats: &&Arc<ClassStats>| stats.observations() >= ClassStats::MIN_OBSERVATIONS;
        let mut sum = 0.0;
        let mut count = 0.0;
        for stats in classes.values().filter(known) {
            let observations = f64::from(stats.observations());
            sum += stats.mean().as_secs_f64() * observations;
            count += observations;
        }
        let mut lengths = Vec::with_capacity(classes.len());
        for (name, stats) in classes {
            let length = if known(&stats) {
                stats.mean().as_secs_f64() * count / sum
            } else {
                1.0
            };
            lengths.push(ClassLength {
                name: name.clone(),
                length,
            });
        }
        lengths
    }

    /// Returns the mean run time of a class at speed 1, or of the service if too little is known of the class.
    pub fn mean_run_time(&self, service: &ServiceName, class: &ClassName) -> Option<Duration> {
        let known = |stats: &Arc<ClassStats>| stats.observations() >= ClassStats::MIN_OBSERVATIONS;
        if let Some(stats) = self.get(service, class).filter(known) {
            return Some(stats.mean());
        }
        self.typical_run_time(service)
    }

    /// Returns the median of the medians of the classes of `service`, each counted by its observations.
    pub fn typical_run_time(&self, service: &ServiceName) -> Option<Duration> {
        let book = self.book.load();
        let mut medians: Vec<(Duration, u32)> = Vec::new();
        for stats in book.get(service)?.values() {
            if stats.observations() >= ClassStats::MIN_OBSERVATIONS {
                medians.push((stats.median(), stats.observations()));
            }
        }
        medians.sort_unstable();
        let total: u64 = medians.iter().map(|(_, count)| u64::from(*count)).sum();
        let mut seen = 0;
        for (median, count) in medians {
            seen += u64::from(count);
            if seen * 2 >= total {
                return Some(median);
            }
        }
        None
    }

    /// Returns whether the tasks of a class run much longer than is typical for the service.
    pub fn is_long(&self, service: &ServiceName, class: &ClassName) -> bool {
        let Some(stats) = self.get(service, class) else {
            return false;
        };
        if stats.observations() < ClassStats::MIN_OBSERVATIONS {
            return false;
        }
        let typical = self.typical_run_time(service);
        typical.is_some_and(|typical| stats.median() > typical.mul_f64(Self::LONG_FACTOR))
    }

    /// Returns the run time at speed 1 after which a running task of the service counts as long.
    pub fn long_run_threshold(&self, service: &ServiceName) -> Option<Duration> {
        self.typical_run_time(service)
            .map(|typical| typical.mul_f64(Self::LONG_FACTOR))
    }
}
