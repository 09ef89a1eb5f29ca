use std::fmt::Write;

use hdrhistogram::Histogram;

use crate::check::Starts;

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Jobs that were submitted.
    pub jobs: u64,
    /// Jobs with a complete answer.
    pub complete: u64,
    /// Jobs that failed or were refused, by what is known of whether they were run.
    pub not_run: u64,
    /// Jobs of which it is not known whether they were run.
    pub may_have_run: u64,
    /// Jobs that were run and failed.
    pub ran: u64,
    /// Jobs without any answer.
    pub unanswered: u64,
    /// Answers that were not whole.
    pub partial: u64,
    /// Submissions that were sent again to another entry.
    pub resubmitted: u64,
    /// Response times from the intended arrival, in microseconds.
    pub response: Histogram<u64>,
    /// Response over the longest run time of the job's tasks, in thousandths.
    pub over_ideal: Histogram<u64>,
    /// Tasks of the submitted jobs.
    pub tasks: u64,
    /// What the stand-ins counted.
    pub starts: Starts,
}

impl Report {
    /// Returns whether a promise was broken.
    pub fn is_broken(&self) -> bool {
        self.partial > 0 || self.starts.duplicates > 0 || self.complete == 0
    }

    /// Formats the report for a terminal.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let wasted = self.starts.refused + self.starts.questions;
        let lines = [
            ("jobs submitted", self.jobs.to_string()),
            ("complete answers", self.complete.to_string()),
            ("failed or refused, not run", self.not_run.to_string()),
            ("failed or refused, may have run", self.may_have_run.to_string()),
            ("failed, ran", self.ran.to_string()),
            ("without an answer", self.unanswered.to_string()),
            ("sent again to another entry", self.resubmitted.to_string()),
            (
                "tasks / starts",
                format!("{} / {}", self.tasks, self.starts.started),
            ),
            ("wasted messages at targets", wasted.to_string()),
            ("response p50 / p99 ms", quantiles(&self.response, 1000.0)),
            (
                "response over ideal p50 / p99",
                quantiles(&self.over_ideal, 1000.0),
            ),
            ("partial answers", self.partial.to_string()),
            ("duplicate starts", self.starts.duplicates.to_string()),
        ];
        for (name, value) in lines {
            let _ = writeln!(text, "{name:<34} {value}");
        }
        text
    }
}

fn quantiles(histogram: &Histogram<u64>, divisor: f64) -> String {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / divisor;
    format!("{:.2} / {:.2}", at(0.5), at(0.99))
}
