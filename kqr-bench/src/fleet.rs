use std::collections::VecDeque;

use crate::scenario::Scenario;

/// A fake target: slots, a speed, and a queue for the policies that use one.
#[derive(Debug)]
pub struct FakeTarget {
    /// Speed.
    pub speed: f64,
    /// Slots.
    pub slots: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait at the target.
    pub waiting: VecDeque<usize>,
    /// Instant in microseconds from which all tasks fail.
    pub fails_from: Option<u64>,
}

impl FakeTarget {
    /// Creates the targets of a scenario.
    pub fn fleet(scenario: &Scenario) -> Vec<Self> {
        let mut fleet = Vec::with_capacity(scenario.targets);
        for index in 0..scenario.targets {
            let is_failing = scenario.failing.is_some_and(|every| index % every == every / 2);
            fleet.push(Self {
                speed: Scenario::speed(index),
                slots: scenario.slots,
                running: 0,
                waiting: VecDeque::new(),
                fails_from: is_failing.then_some(scenario.warm_up.as_micros() as u64),
            });
        }
        fleet
    }

    /// Returns whether a slot is free.
    pub fn is_free(&self) -> bool {
        self.running < self.slots
    }
}
