use std::{collections::BTreeSet, time::Duration};

use kqr_types::{KeyDigest, TaskIndex};

use crate::{
    Broken, Counts, Experiment, PhaseReport, Report, Second,
    check::Starts,
    ended::{Ended, Ending},
    measure::Measure,
};

/// What is counted while a run goes on.
#[derive(Debug)]
pub struct Tally {
    name: String,
    seed: u64,
    jobs: Counts,
    requests: Counts,
    partial: u64,
    resubmitted: u64,
    tasks: u64,
    job_response: Measure,
    request_response: Measure,
    over_ideal: Measure,
    phases: Vec<PhaseTally>,
    seconds: Vec<SecondTally>,
    not_run: BTreeSet<(KeyDigest, TaskIndex)>,
    not_run_requests: BTreeSet<String>,
    non_idempotent: BTreeSet<String>,
}

#[derive(Debug)]
struct PhaseTally {
    name: String,
    length: Duration,
    counts: Counts,
    over_ideal: Measure,
}

#[derive(Debug)]
struct SecondTally {
    second: Second,
    over_ideal: Measure,
}

impl Tally {
    /// Creates the counts of a run that has not begun.
    pub fn new(experiment: &Experiment) -> Self {
        let mut phases = Vec::with_capacity(experiment.phases.len());
        for phase in &experiment.phases {
            phases.push(PhaseTally {
                name: phase.name.clone(),
                length: phase.length.0,
                counts: Counts::default(),
                over_ideal: Measure::new(),
            });
        }
        Self {
            name: experiment.name.clone(),
            seed: experiment.seed,
            jobs: Counts::default(),
            requests: Counts::default(),
            partial: 0,
            resubmitted: 0,
            tasks: 0,
            job_response: Measure::new(),
            request_response: Measure::new(),
            over_ideal: Measure::new(),
            phases,
            seconds: Vec::new(),
            not_run: BTreeSet::new(),
            not_run_requests: BTreeSet::new(),
            non_idempotent: BTreeSet::new(),
        }
    }

    /// Counts what became of one arrival.
    pub fn add(&mut self, ended: &Ended) {
        let counts = if ended.request.is_some() {
            &mut self.requests
        } else {
            &mut self.jobs
        };
        count(counts, ended);
        self.partial += u64::from(!ended.is_whole);
        self.resubmitted += ended.tries as u64 - 1;
        self.tasks += ended.tasks;
        self.not_run.extend(&ended.not_run);
        self.add_request(ended);
        if ended.ending == Ending::Complete {
            let response = if ended.request.is_some() {
                &mut self.request_response
            } else {
                &mut self.job_response
            };
            response.record_time(ended.response);
        }
        if let Some(ratio) = ended.over_ideal() {
            self.over_ideal.record_ratio(ratio);
        }
        self.add_to_phase(ended);
        self.add_to_seconds(ended);
    }

    /// Returns a short text about the counts so far.
    pub fn progress(&self) -> String {
        let in_time = self.jobs.in_time + self.requests.in_time;
        let refused = self.jobs.not_run + self.requests.not_run;
        format!("in time {in_time}, not run {refused}, not whole {}", self.partial)
    }

    /// Returns the report, with what the stand-ins counted.
    pub fn report(self, starts: &Starts) -> Report {
        let phase = |phase: PhaseTally| PhaseReport {
            name: phase.name,
            seconds: phase.length.as_secs_f64(),
            counts: phase.counts,
            over_ideal: phase.over_ideal.ratios(),
        };
        Report {
            broken: Broken {
                partial_answers: self.partial,
                duplicate_starts: starts.duplicates(),
                false_not_run: starts.false_not_run(&self.not_run),
                repeated_requests: starts.requests_beyond(&self.non_idempotent, 1),
                false_request_not_run: starts.requests_beyond(&self.not_run_requests, 0),
            },
            name: self.name,
            seed: self.seed,
            jobs: self.jobs,
            requests: self.requests,
            resubmitted: self.resubmitted,
            tasks: self.tasks,
            starts: starts.started(),
            wasted: starts.refused + starts.questions,
            job_response_ms: self.job_response.times(),
            request_response_ms: self.request_response.times(),
            over_ideal: self.over_ideal.ratios(),
            distribution: self.over_ideal.distribution(),
            phases: self.phases.into_iter().map(phase).collect(),
            seconds: self.seconds.into_iter().map(SecondTally::close).collect(),
        }
    }

    fn add_request(&mut self, ended: &Ended) {
        let Some(request) = &ended.request else { return };
        if !request.is_idempotent {
            self.non_idempotent.insert(request.path.clone());
        }
        if ended.ending == Ending::NotRun {
            self.not_run_requests.insert(request.path.clone());
        }
    }

    fn add_to_phase(&mut self, ended: &Ended) {
        let Some(phase) = self.phases.get_mut(ended.phase) else {
            return;
        };
        count(&mut phase.counts, ended);
        if let Some(ratio) = ended.over_ideal() {
            phase.over_ideal.record_ratio(ratio);
        }
    }

    fn add_to_seconds(&mut self, ended: &Ended) {
        let arrival = self.second(ended.due);
        arrival.second.arrived += 1;
        if let Some(ratio) = ended.over_ideal() {
            arrival.over_ideal.record_ratio(ratio);
        }
        if ended.is_in_time() {
            self.second(ended.due + ended.response).second.in_time += 1;
        }
        for refusal in &ended.refusals {
            let second = &mut self.second(refusal.at).second;
            match refusal.ending {
                Ending::NotRun => second.refused_not_run += 1,
                _ => second.refused_may_have_run += 1,
            }
        }
    }

    fn second(&mut self, at: Duration) -> &mut SecondTally {
        let index = at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondTally::new);
        }
        &mut self.seconds[index]
    }
}

impl SecondTally {
    fn new() -> Self {
        Self {
            second: Second::default(),
            over_ideal: Measure::coarse(),
        }
    }

    fn close(self) -> Second {
        let ratios = self.over_ideal.ratios();
        Second {
            over_ideal_p50: ratios.p50,
            over_ideal_p99: ratios.p99,
            ..self.second
        }
    }
}

fn count(counts: &mut Counts, ended: &Ended) {
    counts.arrived += 1;
    counts.in_time += u64::from(ended.is_in_time());
    counts.cancelled += u64::from(ended.is_cancelled);
    let ending = match ended.ending {
        Ending::Complete => &mut counts.complete,
        Ending::NotRun => &mut counts.not_run,
        Ending::MayHaveRun => &mut counts.may_have_run,
        Ending::Ran => &mut counts.ran,
        Ending::Unanswered => &mut counts.unanswered,
    };
    *ending += 1;
}
