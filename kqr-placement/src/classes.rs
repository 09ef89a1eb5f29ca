use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use kqr_types::{ClassName, ServiceName};

use crate::ClassStats;

type StatsByService = BTreeMap<ServiceName, BTreeMap<ClassName, Arc<ClassStats>>>;

/// Mean run time of a class, relative to the mean of all classes of its service.
#[derive(Clone, Debug)]
pub(crate) struct ClassRunTime {
    pub name: ClassName,
    pub relative_run_time: f64,
}

/// Learned run times of all classes. Reads are lock-free.
#[derive(Debug, Default)]
pub struct Classes {
    stats: ArcSwap<StatsByService>,
}

impl Classes {
    /// Maximum number of classes per service. No statistics are kept for further classes.
    pub const MAX_CLASSES_PER_SERVICE: usize = 256;
    /// A class is long if its median run time exceeds the typical run time of its service by this factor.
    const LONG_FACTOR: f64 = 8.0;

    /// Returns the statistics of a class, or `None` if no task of it has completed.
    pub fn get(&self, service: &ServiceName, class: &ClassName) -> Option<Arc<ClassStats>> {
        self.stats.load().get(service)?.get(class).cloned()
    }

    /// Returns the statistics of a class, adding them with the initial estimate `guess` if the service has
    /// capacity for another class.
    pub(crate) fn get_or_add(
        &self,
        service: &ServiceName,
        class: &ClassName,
        guess: Duration,
    ) -> Option<Arc<ClassStats>> {
        if let Some(stats) = self.get(service, class) {
            return Some(stats);
        }
        self.stats.rcu(|present| {
            let mut next = StatsByService::clone(present);
            let classes = next.entry(service.clone()).or_default();
            if classes.len() < Self::MAX_CLASSES_PER_SERVICE {
                let stats = || Arc::new(ClassStats::new(guess));
                classes.entry(class.clone()).or_insert_with(stats);
            }
            next
        });
        self.get(service, class)
    }

    /// Returns the classes of `service` with their mean run times relative to the mean of all classes.
    pub(crate) fn relative_run_times(&self, service: &ServiceName) -> Vec<ClassRunTime> {
        let services = self.stats.load();
        let Some(classes) = services.get(service) else {
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
        let mut run_times = Vec::with_capacity(classes.len());
        for (name, stats) in classes {
            let relative_run_time = if known(&stats) {
                stats.mean().as_secs_f64() * count / sum
            } else {
                1.0
            };
            run_times.push(ClassRunTime {
                name: name.clone(),
                relative_run_time,
            });
        }
        run_times
    }

    /// Returns the mean run time of a class at speed 1, or the typical run time of the service if the class
    /// has too few observations.
    pub fn mean_run_time(&self, service: &ServiceName, class: &ClassName) -> Option<Duration> {
        let known = |stats: &Arc<ClassStats>| stats.observations() >= ClassStats::MIN_OBSERVATIONS;
        if let Some(stats) = self.get(service, class).filter(known) {
            return Some(stats.mean());
        }
        self.typical_run_time(service)
    }

    /// Returns the typical run time of `service` at speed 1: the median of the medians of its classes,
    /// weighted by their observations.
    pub fn typical_run_time(&self, service: &ServiceName) -> Option<Duration> {
        let services = self.stats.load();
        let mut medians: Vec<(Duration, u32)> = Vec::new();
        for stats in services.get(service)?.values() {
            if stats.observations() >= ClassStats::MIN_OBSERVATIONS {
                medians.push((stats.median(), stats.observations()));
            }
        }
        medians.sort_unstable();
        let total: u64 = medians.iter().map(|(_, count)| u64::from(*count)).sum();
        let mut cumulative = 0;
        for (median, count) in medians {
            cumulative += u64::from(count);
            if cumulative * 2 >= total {
                return Some(median);
            }
        }
        None
    }

    /// Returns whether the tasks of a class run much longer than those typical of the service.
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

    /// Returns the run time at speed 1 above which a running task of the service counts as long.
    pub fn long_run_threshold(&self, service: &ServiceName) -> Option<Duration> {
        self.typical_run_time(service)
            .map(|typical| typical.mul_f64(Self::LONG_FACTOR))
    }
}
