use std::fmt::Write;

use crate::{
    Report,
    measures::{NamedFigure, figures},
};

/// Formats a report for a terminal.
pub fn to_text(report: &Report) -> String {
    let mut text = format!("{} (seed {})\n", report.name, report.seed);
    for NamedFigure { name, value } in figures(report) {
        let _ = writeln!(text, "{name:<42} {}", number(value));
    }
    for phase in &report.phases {
        let _ = writeln!(
            text,
            "phase {:<12} {:>5.1} s: {:>6} arrived, {:>6} in time, {:>6} not run, over ideal p50 {:.2} p99 {:.2}",
            phase.name,
            phase.seconds,
            phase.counts.arrived,
            phase.counts.in_time,
            phase.counts.not_run,
            phase.over_ideal.p50,
            phase.over_ideal.p99
        );
    }
    text
}

/// Formats the figures of two reports side by side, with the second over the first.
pub fn compare(before: &Report, after: &Report) -> String {
    let after_figures = figures(after);
    let mut text = format!(
        "{:<42} {:>12} {:>12} {:>8}\n",
        "measure", "before", "after", "ratio"
    );
    for NamedFigure { name, value } in figures(before) {
        let other = after_figures.iter().find(|figure| figure.name == name);
        let Some(other) = other else {
            let _ = writeln!(text, "{name:<42} {:>12} {:>12}", number(value), "-");
            continue;
        };
        let ratio = if value == 0.0 {
            "-".to_owned()
        } else {
            format!("{:.3}", other.value / value)
        };
        let _ = writeln!(
            text,
            "{name:<42} {:>12} {:>12} {ratio:>8}",
            number(value),
            number(other.value)
        );
    }
    text
}

/// Formats a figure: a count without decimals, anything else with two.
pub(crate) fn number(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
