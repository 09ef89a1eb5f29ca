//! Submissions of teams that number their tries: the first is homed where it arrives, and a later one finds out where
//! the key is known before it is submitted anywhere.

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

/// Longest time for asking one data centre about a key.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// What a data centre says of a key.
enum Knowledge {
    /// It has the key's job.
    Known,
    /// It has never run the key and never will.
    Renounced,
    /// It can't be reached, or can't promise anything.
    Unsure(NotAccepted),
}

impl Entry {
    /// Submits a job at the home of its key and returns the answer.
    pub async fn submit(&self, submission: Submission, is_waiting: bool) -> Answer {
        let begun = Instant::now();
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
        submission.deadline = submission.deadline.saturating_sub(begun.elapsed());
        let call = JobCall::Submit {
            submission,
            is_waiting,
        };
        self.call(call, home.as_ref(), MAX_HOPS).await
    }

    /// Answers a question or a cancellation. The job of a team that numbers its tries may be in any data centre.
    pub async fn find(&self, call: JobCall) -> Answer {
        let key = call.key();
        let by_key = self.topology.home_data_centre(key);
        let is_anywhere =
            self.topology.prefix_data_centre(key).is_none() && self.settings.current().has_marked_teams();
        if !is_anywhere {
            return self.call(call.clone(), by_key, MAX_HOPS).await;
        }
        let own = &self.own.data_centre;
        if self.knows(key, own).await {
            return self.call(call.clone(), Some(own), MAX_HOPS).await;
        }
        let holder = self.find_holder(key).await;
        self.call(call.clone(), holder.as_ref().or(by_key), MAX_HOPS)
            .await
    }

    /// Returns whether the first try of a submission is homed where it arrives. An entry that waits for its first
    /// settings does not know the rule of the team: a later try is looked for everywhere, which is safe under either.
    pub fn is_marked(&self, submission: &Submission) -> bool {
        if self.topology.prefix_data_centre(&submission.key).is_some() {
            return false;
        }
        let settings = self.settings.current();
        let is_rule_unknown = settings.version.is_none() && self.has_control;
        settings.is_marked(&submission.team) || (is_rule_unknown && is_resubmission(submission))
    }

    /// Returns the data centre in which a later try of a key is to be submitted: the one that knows the key, or this
    /// one if all others have renounced it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if an earlier try may have been run and its answer can't be had.
    async fn find_home(&self, key: &JobKey) -> Result<DataCentre, NotAccepted> {
        let own = &self.own.data_centre;
        let lookup = JobCall::Lookup(key.clone());
        match self.call(lookup, Some(own), MAX_HOPS).await {
            Ok(_) => return Ok(own.clone()),
            Err(refusal) if refusal.reason == RefusalReason::UnknownKey => {}
            Err(refusal) if refusal.reason == RefusalReason::HistoryLost => {
                // The key may have been left to another data centre, which has its answer.
                return self.find_holder(key).await.ok_or(refusal);
            }
            Err(refusal) => return Err(refusal),
        }
        let sites = self.other_data_centres();
        let asked = join_all(sites.iter().map(|site| self.ask(key, site))).await;
        let mut unsure = None;
        for (site, knowledge) in sites.iter().zip(asked) {
            match knowledge {
                Knowledge::Known => return Ok(site.clone()),
                Knowledge::Renounced => {}
                Knowledge::Unsure(refusal) => unsure = Some(more_certain(unsure, refusal)),
            }
        }
        unsure.map_or_else(|| Ok(own.clone()), Err)
    }

    /// Asks another data centre for a key, and to renounce it if it does not know it.
    async fn ask(&self, key: &JobKey, site: &DataCentre) -> Knowledge {
        let asking = async {
            match self
                .call(JobCall::Lookup(key.clone()), Some(site), MAX_HOPS)
                .await
            {
                Ok(_) => return Knowledge::Known,
                Err(refusal) if refusal.reason == RefusalReason::UnknownKey => {}
                // A key that was renounced before is renounced again.
                Err(refusal) if refusal.reason == RefusalReason::HistoryLost => {}
                Err(refusal) => return Knowledge::Unsure(refusal),
            }
            match self
                .call(JobCall::Renounce(key.clone()), Some(site), MAX_HOPS)
                .await
            {
                Ok(_) => Knowledge::Known,
                Err(refusal) if is_promise(&refusal) => Knowledge::Renounced,
                Err(refusal) => Knowledge::Unsure(refusal),
            }
        };
        let answered = tokio::time::timeout(ASK_TIMEOUT, asking).await;
        answered.unwrap_or_else(|_| {
            Knowledge::Unsure(unreachable_home(&format!("data centre {site} did not answer")))
        })
    }

    /// Returns another data centre that has the job of a key.
    async fn find_holder(&self, key: &JobKey) -> Option<DataCentre> {
        let sites = self.other_data_centres();
        let asked = join_all(sites.iter().map(|site| self.knows(key, site))).await;
        let mut found = sites.into_iter().zip(asked);
        found.find(|(_, is_known)| *is_known).map(|(site, _)| site)
    }

    /// Returns whether a data centre has the job of a key.
    async fn knows(&self, key: &JobKey, site: &DataCentre) -> bool {
        let lookup = self.call(JobCall::Lookup(key.clone()), Some(site), MAX_HOPS);
        let answered = tokio::time::timeout(ASK_TIMEOUT, lookup).await;
        matches!(answered, Ok(Ok(_)))
    }

    fn other_data_centres(&self) -> Vec<DataCentre> {
        let sites = self.topology.data_centres().iter();
        sites
            .filter(|site| **site != self.own.data_centre)
            .cloned()
            .collect()
    }
}

fn is_resubmission(submission: &Submission) -> bool {
    submission.attempt.is_some_and(|attempt| attempt > Attempt(1))
}

/// Returns whether a refusal promises that the key is never run where it comes from.
fn is_promise(refusal: &NotAccepted) -> bool {
    refusal.reason == RefusalReason::UnknownKey && refusal.outcome == Outcome::NotRun
}

/// Returns the refusal that tells the caller more: a data centre that remembers the outcome of the key is the only one
/// that has run it.
fn more_certain(present: Option<NotAccepted>, refusal: NotAccepted) -> NotAccepted {
    match present {
        Some(present) if present.outcome != Outcome::MayHaveRun => present,
        Some(present) if refusal.outcome == Outcome::MayHaveRun => present,
        _ => refusal,
    }
}
