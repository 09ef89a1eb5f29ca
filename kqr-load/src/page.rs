use std::fmt::Write;

use crate::{
    Report, Second,
    measures::{NamedFigure, figures},
    plot::{Line, Plot},
    text::number,
};

const STYLE: &str = "body{font:14px system-ui,sans-serif;margin:1.5em;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #e4e4e4}\
td+td,th+th{text-align:right}svg{max-width:100%;height:auto}.broken{color:#a00}";

/// Formats a report as one self-contained page with plots.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
pub fn to_page(report: &Report) -> eyre::Result<String> {
    let name = escape(&report.name);
    let mut page = String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _ = writeln!(
        page,
        "<title>{name}</title><style>{STYLE}</style></head><body>\n<h1>{name}</h1>"
    );
    if report.is_broken() {
        page.push_str("<p class=\"broken\">A promise was broken.</p>\n");
    }
    write_phases(&mut page, report);
    for plot in plots(report) {
        let _ = writeln!(page, "<p>{}</p>", plot.to_svg()?);
    }
    page.push_str("<table><tr><th>measure</th><th>value</th></tr>\n");
    for NamedFigure { name, value } in figures(report) {
        let _ = writeln!(page, "<tr><td>{name}</td><td>{}</td></tr>", number(value));
    }
    page.push_str("</table></body></html>\n");
    Ok(page)
}

fn write_phases(page: &mut String, report: &Report) {
    page.push_str(
        "<table><tr><th>phase</th><th>s</th><th>arrived</th><th>in time</th><th>not run</th><th>may have run</th>\
         <th>goodput /s</th><th>over ideal p50</th><th>p99</th></tr>\n",
    );
    for phase in &report.phases {
        let counts = &phase.counts;
        let _ = writeln!(
            page,
            "<tr><td>{}</td><td>{:.1}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{:.2}</td><td>{:.2}</td></tr>",
            escape(&phase.name),
            phase.seconds,
            counts.arrived,
            counts.in_time,
            counts.not_run,
            counts.may_have_run,
            counts.in_time as f64 / phase.seconds.max(f64::MIN_POSITIVE),
            phase.over_ideal.p50,
            phase.over_ideal.p99
        );
    }
    page.push_str("</table>\n");
}

fn plots(report: &Report) -> Vec<Plot> {
    let over_time = |name, value: fn(&Second) -> f64| {
        let points = report.seconds.iter().enumerate();
        Line {
            name,
            points: points.map(|(at, second)| (at as f64, value(second))).collect(),
        }
    };
    let ratio = |name, value: fn(&Second) -> f64| {
        let mut line = over_time(name, value);
        line.points.retain(|(_, ratio)| *ratio > 0.0);
        line
    };
    let distribution = report.distribution.iter();
    vec![
        Plot {
            title: "Response over ideal",
            x: "quantile of the jobs",
            y: "response / ideal",
            lines: vec![Line {
                name: "jobs",
                points: distribution.map(|point| (point.quantile, point.ratio)).collect(),
            }],
        },
        Plot {
            title: "Crest: response over ideal by second of arrival",
            x: "arrival, s since the begin",
            y: "response / ideal",
            lines: vec![
                ratio("p50", |second| second.over_ideal_p50),
                ratio("p99", |second| second.over_ideal_p99),
            ],
        },
        Plot {
            title: "Goodput: answers in time",
            x: "time since the begin, s",
            y: "jobs and requests / s",
            lines: vec![
                over_time("arrived", |second| second.arrived as f64),
                over_time("answered in time", |second| second.in_time as f64),
            ],
        },
        Plot {
            title: "Refusals",
            x: "time since the begin, s",
            y: "refusals / s",
            lines: vec![
                over_time("not run", |second| second.refused_not_run as f64),
                over_time("may have run", |second| second.refused_may_have_run as f64),
            ],
        },
    ]
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
