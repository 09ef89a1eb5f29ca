use crate::{Quantiles, Report};

/// A named figure of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedFigure {
    /// Name with unit.
    pub name: String,
    /// Value.
    pub value: f64,
}

/// Returns the figures of a report in the order in which they are shown.
pub fn figures(report: &Report) -> Vec<NamedFigure> {
    let mut figures = Vec::new();
    let mut add = |name: String, value: f64| figures.push(NamedFigure { name, value });
    for (kind, counts) in [("jobs", &report.jobs), ("requests", &report.requests)] {
        if kind == "requests" && counts.arrived == 0 {
            continue;
        }
        let values = [
            ("submitted", counts.arrived),
            ("complete answers", counts.complete),
            ("answers in time", counts.in_time),
            ("failed or refused, not run", counts.not_run),
            ("failed or refused, may have run", counts.may_have_run),
            ("failed, ran", counts.ran),
            ("without an answer", counts.unanswered),
            ("cancelled", counts.cancelled),
        ];
        for (name, value) in values {
            add(format!("{kind}: {name}"), value as f64);
        }
    }
    let broken = &report.broken;
    let counts = [
        ("sent again to another entry", report.resubmitted),
        ("tasks", report.tasks),
        ("starts at targets", report.starts),
        ("wasted messages at targets", report.wasted),
        ("partial answers", broken.partial_answers),
        ("duplicate starts", broken.duplicate_starts),
        ("false not-run, tasks", broken.false_not_run),
        ("repeated non-idempotent requests", broken.repeated_requests),
        ("false not-run, requests", broken.false_request_not_run),
    ];
    for (name, value) in counts {
        add(name.to_owned(), value as f64);
    }
    let quantiles = [
        ("job response ms", &report.job_response_ms),
        ("request response ms", &report.request_response_ms),
        ("response over ideal", &report.over_ideal),
    ];
    for (name, values) in quantiles {
        if values.count > 0 {
            add_quantiles(&mut add, name, values);
        }
    }
    figures
}

fn add_quantiles<F>(add: &mut F, name: &str, values: &Quantiles)
where
    F: FnMut(String, f64),
{
    for (quantile, value) in [
        ("mean", values.mean),
        ("p50", values.p50),
        ("p99", values.p99),
        ("max", values.max),
    ] {
        add(format!("{name}, {quantile}"), value);
    }
}
