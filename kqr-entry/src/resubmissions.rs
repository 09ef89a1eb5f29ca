//! Submissions of teams that number their tries. The first try is homed in the data centre where it arrives.
//! A later try is submitted only after the data centre that has the key was looked up.

use std::time::Duration;

use futures::future::join_all;
use kqr_jobs::{NotAccepted, Outcome, RefusalReason, Submission};
use kqr_types::{Attempt, DataCentre, JobKey};
use kqr_wire::siblings::JobCall;
use tokio::time::Instant;

use crate::{
    engine::Answer,
    entry::Entry,
    routing::{MAX_HOPS, unreachable_home},
};

/// Timeout of a lookup of a key in one data centre, including its renunciation.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Answer of a data centre about a key.
enum KeyStatus {
    /// The data centre has the job of the key.
    Known,
    /// The data centre has never run the key and never will.
    Renounced,
    /// The data centre can't be reached, or may have run the key.
    Uncertain(NotAccepted),
}

impl Entry {
    /// Submits a job at the home of its key and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the job is not accepted or its home can't be determined or reached.
    pub async fn submit(&self, submission: Submission, is_waiting: bool) -> Answer {
        let started = Instant::now();
        let key = submission.key.clone();
        let home = if !self.is_marked(&submission) {
            self.topology.home_data_centre(&key).cloned()
        } else if is_resubmission(&submission) {
            let found = tokio::time::timeout(submission.deadline, self.find_home(&key)).await;
            let found = found
                .unwrap_or_else(|_| Err(unreachable_home("the deadline passed before the key was found")));
            Some(found?)
        } else {
            Some(self.own.data_centre.clone())
        };
        let mut submission = submission;
        submission.deadline = submission.deadline.saturating_sub(started.elapsed());
        let call = JobCall::Submit {
            submission,
            is_waiting,
        };
        self.call(call, home.as_ref(), MAX_HOPS).await
    }

    /// Answers a lookup or a cancellation. The job of a team that numbers its tries may be in any data
    /// centre.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the key is unknown or its home can't be reached.
    pub async fn find(&self, call: JobCall) -> Answer {
        let key = call.key();
        let by_key = self.topology.home_data_centre(key);
        let is_anywhere =
            self.topology.prefix_data_centre(key).is_none() && self.settings.current().has_marked_teams();
        if !is_anywhere {
            return self.call(call.clone(), by_key, MAX_HOPS).await;
        }
        let own = &self.own.data_centre;
        if self.has_job(key, own).await {
            return self.call(call.clone(), Some(own), MAX_HOPS).await;
        }
        let found = self.find_job(key).await;
        self.call(call.clone(), found.as_ref().or(by_key), MAX_HOPS).await
    }

    /// Returns whether the first try of a submission is homed where it arrives. An entry that has not
    /// received settings yet does not know the rule of the team. It looks a later try up in all data centres,
    /// which is safe under either rule.
    pub fn is_marked(&self, submission: &Submission) -> bool {
        if self.topology.prefix_data_centre(&submission.key).is_some() {
            return false;
        }
        let settings = self.settings.current();
        let is_rule_unknown = settings.version.is_none() && self.has_control;
        settings.is_marked(&submission.team) || (is_rule_unknown && is_resubmission(submission))
    }

    /// Returns the data centre to which a later try of a key is submitted: the one that has the job, or this
    /// one if all others have renounced the key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if an earlier try may have been run and its answer is not available.
    async fn find_home(&self, key: &JobKey) -> Result<DataCentre, NotAccepted> {
        let own = &self.own.data_centre;
        let lookup = JobCall::Lookup(key.clone());
        match self.call(lookup, Some(own), MAX_HOPS).await {
            Ok(_) => return Ok(own.clone()),
            Err(refusal) if refusal.reason == RefusalReason::UnknownKey => {}
            Err(refusal) if refusal.reason == RefusalReason::HistoryLost => {
                // This data centre may have renounced the key in favour of another one, which has its answer.
                return self.find_job(key).await.ok_or(refusal);
            }
            Err(refusal) => return Err(refusal),
        }
        let data_centres = self.other_data_centres();
        let statuses = join_all(
            data_centres
                .iter()
                .map(|data_centre| self.look_up_or_renounce(key, data_centre)),
        )
        .await;
        let mut uncertain = None;
        for (data_centre, status) in data_centres.iter().zip(statuses) {
            match status {
                KeyStatus::Known => return Ok(data_centre.clone()),
                KeyStatus::Renounced => {}
                KeyStatus::Uncertain(refusal) => uncertain = Some(more_certain(uncertain, refusal)),
            }
        }
        uncertain.map_or_else(|| Ok(own.clone()), Err)
    }

    /// Looks a key up in another data centre, which renounces it if it does not know it.
    async fn look_up_or_renounce(&self, key: &JobKey, data_centre: &DataCentre) -> KeyStatus {
        let exchange = async {
            match self
                .call(JobCall::Lookup(key.clone()), Some(data_centre), MAX_HOPS)
                .await
            {
                Ok(_) => return KeyStatus::Known,
                Err(refusal) if refusal.reason == RefusalReason::UnknownKey => {}
                // A key that was renounced before is renounced again.
                Err(refusal) if refusal.reason == RefusalReason::HistoryLost => {}
                Err(refusal) => return KeyStatus::Uncertain(refusal),
            }
            match self
                .call(JobCall::Renounce(key.clone()), Some(data_centre), MAX_HOPS)
                .await
            {
                Ok(_) => KeyStatus::Known,
                Err(refusal) if is_renunciation(&refusal) => KeyStatus::Renounced,
                Err(refusal) => KeyStatus::Uncertain(refusal),
            }
        };
        let answered = tokio::time::timeout(LOOKUP_TIMEOUT, exchange).await;
        answered.unwrap_or_else(|_| {
            KeyStatus::Uncertain(unreachable_home(&format!(
                "data centre {data_centre} did not answer"
            )))
        })
    }

    /// Returns another data centre that has the job of a key.
    async fn find_job(&self, key: &JobKey) -> Option<DataCentre> {
        let data_centres = self.other_data_centres();
        let found = join_all(
            data_centres
                .iter()
                .map(|data_centre| self.has_job(key, data_centre)),
        )
        .await;
        let mut found = data_centres.into_iter().zip(found);
        found
            .find(|(_, has_job)| *has_job)
            .map(|(data_centre, _)| data_centre)
    }

    /// Returns whether a data centre has the job of a key.
    async fn has_job(&self, key: &JobKey, data_centre: &DataCentre) -> bool {
        let lookup = self.call(JobCall::Lookup(key.clone()), Some(data_centre), MAX_HOPS);
        let answered = tokio::time::timeout(LOOKUP_TIMEOUT, lookup).await;
        matches!(answered, Ok(Ok(_)))
    }

    fn other_data_centres(&self) -> Vec<DataCentre> {
        let data_centres = self.topology.data_centres().iter();
        data_centres
            .filter(|data_centre| **data_centre != self.own.data_centre)
            .cloned()
            .collect()
    }
}

fn is_resubmission(submission: &Submission) -> bool {
    submission.attempt.is_some_and(|attempt| attempt > Attempt(1))
}

/// Returns whether a refusal renounces the key: the data centre that sent it has never run the key and never
/// will.
fn is_renunciation(refusal: &NotAccepted) -> bool {
    refusal.reason == RefusalReason::UnknownKey && refusal.outcome == Outcome::NotRun
}

/// Returns the refusal with the more certain outcome. A data centre that retains the outcome of the key is
/// the only one that has run it.
fn more_certain(previous: Option<NotAccepted>, refusal: NotAccepted) -> NotAccepted {
    match previous {
        Some(previous) if previous.outcome != Outcome::MayHaveRun => previous,
        Some(previous) if refusal.outcome == Outcome::MayHaveRun => previous,
        _ => refusal,
    }
}
