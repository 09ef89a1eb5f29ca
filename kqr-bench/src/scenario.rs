use std::time::Duration;

/// A time with more work than before and after it.
#[derive(Clone, Copy, Debug)]
pub struct Crest {
    /// Length of the crest.
    pub length: Duration,
    /// Arrivals during the crest, over what the targets can serve.
    pub load: f64,
}

/// A team that sends tasks of its own.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Quota, over what the targets can serve.
    pub quota: f64,
    /// Arrivals over the quota.
    pub sent: f64,
}

/// How run times relate to classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Classes {
    /// Classes tell nothing of the run time.
    Alike,
    /// The medians of classes differ.
    Distinct,
    /// A part of the tasks belongs to a class that runs many times longer than the others.
    Long {
        /// Part of the tasks.
        part: f64,
        /// Run time over that of the other tasks.
        factor: f64,
    },
}

/// What a benchmark run is made of.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
    /// Number of targets; their speeds repeat [`Scenario::SPEEDS`].
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Number of entries.
    pub entries: usize,
    /// Time before anything is measured.
    pub warm_up: Duration,
    /// Time that is measured.
    pub measured: Duration,
    /// Arrivals over what the targets can serve, if the command line names none.
    pub load: f64,
    /// Time that callers are willing to wait.
    pub deadline: Duration,
    /// Most tasks of a job; the logarithm of their number is spread evenly from 1 on.
    pub most_tasks: usize,
    /// How run times relate to classes.
    pub classes: Classes,
    /// Crest that starts with the measured time.
    pub crest: Option<Crest>,
    /// Teams; without any there is one team without a quota.
    pub teams: Vec<Team>,
    /// One in so many targets fails all its tasks at once from the start of the measured time.
    pub failing: Option<usize>,
    /// Whether the baselines are run as well.
    pub has_baselines: bool,
}

impl Scenario {
    /// Speeds of targets.
    pub const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 2.0];
    /// Shortest run time at speed 1, in seconds.
    pub const SHORTEST: f64 = 0.05;
    /// Longest run time at speed 1, in seconds.
    pub const LONGEST: f64 = 1.0;
    /// Time of a message one way.
    pub const ONE_WAY: Duration = Duration::from_micros(250);

    /// Returns the speed of the target with `index`.
    pub fn speed(index: usize) -> f64 {
        Self::SPEEDS[index % Self::SPEEDS.len()]
    }

    /// Returns the sum of speeds over all slots.
    pub fn capacity(&self) -> f64 {
        let speeds = (0..self.targets).map(Self::speed);
        speeds.sum::<f64>() * f64::from(self.slots)
    }

    /// Returns the scenario with `name`.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn find(name: &str) -> eyre::Result<Self> {
        let found = Self::all().into_iter().find(|scenario| scenario.name == name);
        found.ok_or_else(|| eyre::eyre!("no scenario is named {name}; see list"))
    }

    /// Returns all scenarios.
    pub fn all() -> Vec<Self> {
        let users = Self::users();
        vec![
            users.clone(),
            Self {
                name: "smoke",
                about: "a few seconds, to try the benchmark itself",
                targets: 8,
                warm_up: Duration::from_secs(3),
                measured: Duration::from_secs(2),
                has_baselines: false,
                ..users.clone()
            },
            Self {
                name: "classes",
                about: "the users' size; run times differ by class",
                classes: Classes::Distinct,
                ..users.clone()
            },
            Self {
                name: "jobs",
                about: "the users' size; jobs of 1 to 190 tasks, answered with their last task",
                most_tasks: kqr_jobs::Submission::MAX_TASKS,
                measured: Duration::from_secs(60),
                load: 0.7,
                ..users.clone()
            },
            Self {
                name: "crest",
                about: "3 times the capacity for 10 s, deadline 2 s",
                load: 0.7,
                deadline: Duration::from_secs(2),
                crest: Some(Crest {
                    length: Duration::from_secs(10),
                    load: 3.0,
                }),
                measured: Duration::from_secs(18),
                ..users.clone()
            },
            Self {
                name: "short-only",
                about: "the short work of scenario long without the long work",
                load: 0.45,
                warm_up: Duration::from_secs(30),
                has_baselines: false,
                ..users.clone()
            },
            Self {
                name: "long",
                about: "2% of the tasks run 50 times longer",
                load: 0.9,
                classes: Classes::Long {
                    part: 0.02,
                    factor: 50.0,
                },
                warm_up: Duration::from_secs(30),
                has_baselines: false,
                ..users.clone()
            },
            Self {
                name: "failing",
                about: "one target in 20 fails at once all that it starts",
                load: 0.8,
                failing: Some(20),
                measured: Duration::from_secs(60),
                has_baselines: false,
                ..users.clone()
            },
            Self {
                name: "quota",
                about: "a quiet team within its quota beside one that sends 10 times its own",
                load: 0.0,
                deadline: Duration::from_secs(2),
                teams: vec![
                    Team {
                        quota: 0.4,
                        sent: 1.0,
                    },
                    Team {
                        quota: 0.4,
                        sent: 10.0,
                    },
                ],
                has_baselines: false,
                ..users.clone()
            },
            Self::centre(),
            Self {
                name: "centre-crest",
                about: "the target size of a data centre at 3 times its 11,300 starts a second for 4 s",
                crest: Some(Crest {
                    length: Duration::from_secs(4),
                    load: 3.0 * Self::CENTRE_LOAD,
                }),
                deadline: Duration::from_secs(2),
                load: 0.7,
                measured: Duration::from_secs(9),
                has_baselines: false,
                ..Self::centre()
            },
        ]
    }

    /// Load of 400 targets by 11,300 starts a second.
    const CENTRE_LOAD: f64 = 0.875;

    fn users() -> Self {
        Self {
            name: "steady",
            about: "the users' size under a steady load",
            targets: 50,
            slots: 8,
            entries: 3,
            warm_up: Duration::from_secs(10),
            measured: Duration::from_secs(30),
            load: 0.9,
            deadline: Duration::from_secs(30),
            most_tasks: 1,
            classes: Classes::Alike,
            crest: None,
            teams: Vec::new(),
            failing: None,
            has_baselines: true,
        }
    }

    fn centre() -> Self {
        Self {
            name: "centre",
            about: "the target size of a data centre, 400 targets and 11,300 starts a second",
            targets: 400,
            entries: 6,
            load: Self::CENTRE_LOAD,
            warm_up: Duration::from_secs(12),
            measured: Duration::from_secs(5),
            ..Self::users()
        }
    }
}
