use crate::{
    event::{End, Event, Events},
    fleet::FakeTarget,
    scenario::Scenario,
    workload::Arrival,
};

/// Time after which a failing target fails a task, in microseconds.
const FAIL_TIME: u64 = 1000;
/// Time of a message one way, in microseconds.
pub const ONE_WAY: u64 = Scenario::ONE_WAY.as_micros() as u64;

/// How a task ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It has not ended.
    Open,
    /// It was answered at this instant, in microseconds.
    Answered(u64),
    /// It failed on a target at this instant, in microseconds.
    Lost(u64),
    /// It was refused.
    Refused,
}

/// Virtual time, the fake targets and what became of the tasks.
#[derive(Debug)]
pub struct World {
    /// Present instant in microseconds.
    pub now: u64,
    /// Tasks.
    pub arrivals: Vec<Arrival>,
    /// What became of them.
    pub fates: Vec<Fate>,
    /// Instant in microseconds and target of the last start of each task.
    pub starts: Vec<Option<(u64, usize)>>,
    /// Targets.
    pub fleet: Vec<FakeTarget>,
    /// Events to come.
    pub events: Events,
    /// Instant in microseconds from which messages are counted.
    pub counted_from: u64,
    /// Messages beyond one start and one answer for each task: probes, refusals, forwards.
    pub wasted: u64,
    /// Starts that found no free slot at their target.
    pub refused_starts: u64,
    /// Messages that are sent whether tasks come or not.
    pub background: u64,
    /// Whether starts beyond the free slots wait at the target.
    pub has_target_queues: bool,
}

impl World {
    /// Creates a world at its beginning.
    pub fn new(scenario: &Scenario, arrivals: Vec<Arrival>) -> Self {
        let mut events = Events::default();
        for (task, arrival) in arrivals.iter().enumerate() {
            events.add(arrival.at, Event::Arrives(task));
        }
        Self {
            now: 0,
            fates: vec![Fate::Open; arrivals.len()],
            starts: vec![None; arrivals.len()],
            arrivals,
            fleet: FakeTarget::fleet(scenario),
            events,
            counted_from: scenario.warm_up.as_micros() as u64,
            wasted: 0,
            refused_starts: 0,
            background: 0,
            has_target_queues: false,
        }
    }

    /// Counts messages beyond one start and one answer for each task.
    pub fn waste(&mut self, messages: u64) {
        if self.now >= self.counted_from {
            self.wasted += messages;
        }
    }

    /// Counts a message that is sent whether tasks come or not.
    pub fn count_background(&mut self) {
        if self.now >= self.counted_from {
            self.background += 1;
        }
    }

    /// Sends the start of a task to a target.
    pub fn start(&mut self, task: usize, target: usize) {
        let event = Event::StartArrives { task, target };
        self.events.add(self.now + ONE_WAY, event);
    }

    /// Records the answer of a task.
    pub fn answer(&mut self, task: usize, end: End) {
        self.fates[task] = match end {
            End::Completed => Fate::Answered(self.now),
            End::Failed => Fate::Lost(self.now),
            End::Refused => Fate::Open,
        };
    }

    /// Handles the arrival of a start at a target.
    pub fn start_arrives(&mut self, task: usize, target: usize) {
        if self.fleet[target].is_free() {
            self.run(task, target);
            return;
        }
        if self.has_target_queues {
            self.fleet[target].waiting.push_back(task);
            return;
        }
        let end = End::Refused;
        self.waste(2);
        self.refused_starts += u64::from(self.now >= self.counted_from);
        self.events
            .add(self.now + ONE_WAY, Event::Seen { task, target, end });
    }

    /// Handles the end of a task at its target.
    pub fn ends(&mut self, task: usize, target: usize) {
        let own = &mut self.fleet[target];
        own.running -= 1;
        let is_failed = own.fails_from.is_some_and(|from| from <= self.now);
        let next = own.waiting.pop_front();
        let end = if is_failed { End::Failed } else { End::Completed };
        self.events
            .add(self.now + ONE_WAY, Event::Seen { task, target, end });
        if let Some(next) = next {
            self.run(next, target);
        }
    }

    fn run(&mut self, task: usize, target: usize) {
        let own = &mut self.fleet[target];
        own.running += 1;
        self.starts[task] = Some((self.now, target));
        let is_failing = own.fails_from.is_some_and(|from| from <= self.now);
        let run_time = if is_failing {
            FAIL_TIME
        } else {
            (self.arrivals[task].work / own.speed * 1e6) as u64
        };
        self.events.add(self.now + run_time, Event::Ends { task, target });
    }
}
