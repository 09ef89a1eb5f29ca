//! What is counted, compared and drawn, and what counts as a broken promise.

use std::{collections::BTreeMap, time::Duration};

use kqr_load::{
    Ended, Ending, Experiment, Phase, Refusal, Report, RequestPath, Resubmit, Starts, Tally, TimeText,
};
use kqr_load::{compare, is_echo, is_whole, to_page, to_text};
use kqr_types::{JobKey, KeyDigest, Rate, TaskIndex};
use kqr_wire::callers::{JobAnswerBody, JobBody};

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(&key.parse::<JobKey>().unwrap())
}

fn experiment() -> Experiment {
    let phase = |name: &str| Phase {
        name: name.to_owned(),
        length: TimeText(Duration::from_secs(2)),
        jobs: Rate(1.0),
        requests: Rate(0.0),
    };
    Experiment {
        name: "two <phases>".to_owned(),
        seed: 7,
        key_prefix: "test".to_owned(),
        entries: Vec::new(),
        standins: Vec::new(),
        phases: vec![phase("before"), phase("surge")],
        jobs: Vec::new(),
        requests: Vec::new(),
        cancels: Vec::new(),
        resubmit: Resubmit::default(),
    }
}

fn job(due_ms: u64, response_ms: u64, ending: Ending) -> Ended {
    Ended {
        phase: (due_ms / 2000) as usize,
        due: Duration::from_millis(due_ms),
        response: Duration::from_millis(response_ms),
        deadline: Duration::from_secs(1),
        ideal: Duration::from_millis(100),
        ending,
        is_whole: true,
        tries: 1,
        tasks: 2,
        refusals: Vec::new(),
        is_cancelled: false,
        not_run: Vec::new(),
        request: None,
    }
}

fn report(work: &[Ended], starts: &Starts) -> Report {
    let mut tally = Tally::new(&experiment());
    for ended in work {
        tally.add(ended);
    }
    tally.report(starts)
}

fn started(key: &str, tasks: &[u16]) -> Starts {
    let mut starts = Starts::default();
    let attempts: Vec<String> = tasks
        .iter()
        .map(|task| format!("{}-{task}-1", digest(key)))
        .collect();
    let body = serde_json::json!({"attempts": attempts, "requests": [], "refused": 1, "questions": 2});
    starts.add(body.to_string().as_bytes()).unwrap();
    starts
}

#[test]
fn answers_are_counted_by_phase_second_and_deadline() {
    let mut late = job(2500, 1800, Ending::Complete);
    late.refusals.push(Refusal {
        at: Duration::from_millis(3100),
        ending: Ending::NotRun,
    });
    let report = report(&[job(100, 120, Ending::Complete), late], &started("a", &[0, 1]));
    assert_eq!(
        (report.jobs.arrived, report.jobs.complete, report.jobs.in_time),
        (2, 2, 1)
    );
    assert_eq!(
        (report.phases[0].counts.in_time, report.phases[1].counts.in_time),
        (1, 0)
    );
    assert!(
        (report.phases[0].over_ideal.p50 - 1.2).abs() < 0.01,
        "{:?}",
        report.phases[0]
    );
    assert_eq!(
        (
            report.seconds[0].in_time,
            report.seconds[2].arrived,
            report.seconds[3].refused_not_run
        ),
        (1, 1, 1)
    );
    assert_eq!((report.starts, report.wasted, report.is_broken()), (2, 3, false));
}

#[test]
fn each_broken_promise_is_found() {
    let complete = job(0, 120, Ending::Complete);
    let none = Starts::default();
    assert!(!report(std::slice::from_ref(&complete), &none).is_broken());
    assert!(
        report(&[job(0, 1, Ending::NotRun)], &none).is_broken(),
        "nothing was answered at all"
    );

    let mut partial = complete.clone();
    partial.is_whole = false;
    assert_eq!(report(&[partial], &none).broken.partial_answers, 1);

    assert_eq!(
        report(std::slice::from_ref(&complete), &started("a", &[0, 1, 1]))
            .broken
            .duplicate_starts,
        1
    );

    let mut refused = job(0, 1, Ending::NotRun);
    refused.not_run = vec![(digest("a"), TaskIndex(0)), (digest("a"), TaskIndex(1))];
    let found = report(&[complete.clone(), refused.clone()], &started("a", &[1]));
    assert_eq!((found.broken.false_not_run, found.is_broken()), (1, true));
    assert!(!report(&[complete.clone(), refused], &started("b", &[1])).is_broken());

    for (is_idempotent, ending, expected) in [
        (false, Ending::Complete, (1, 0)),
        (true, Ending::Complete, (0, 0)),
        (true, Ending::NotRun, (0, 2)),
    ] {
        let mut request = job(0, 1, ending);
        let path = "/load/1".to_owned();
        request.request = Some(RequestPath { path, is_idempotent });
        let starts = Starts {
            requests: BTreeMap::from([("/load/1".to_owned(), 2)]),
            ..Starts::default()
        };
        let broken = report(&[complete.clone(), request], &starts).broken;
        assert_eq!(
            (broken.repeated_requests, broken.false_request_not_run),
            expected,
            "{ending:?}"
        );
    }
}

#[test]
fn only_the_whole_answer_to_the_own_request_passes() {
    let body: JobBody = serde_json::from_value(serde_json::json!({"service": "pressverk", "tasks": [
        {"class": "proof", "payload": "{\"run_ms\":1,\"echo\":\"x\"}"},
        {"class": "proof", "payload": "{\"run_ms\":1,\"echo\":\"y\"}"},
    ]}))
    .unwrap();
    let answer = |key: &str, state: &str, results: &[Option<&str>]| -> JobAnswerBody {
        let task = |(index, result): (usize, Option<&str>)| serde_json::json!({"task": index, "outcome": "ran", "result": result});
        let tasks: Vec<_> = results.iter().copied().enumerate().map(task).collect();
        serde_json::from_value(
            serde_json::json!({"key": key, "state": state, "outcome": "ran", "tasks": tasks}),
        )
        .unwrap()
    };
    let passes = |answer: &JobAnswerBody| is_whole("k", &body, answer);
    assert!(passes(&answer("k", "complete", &[Some("k#0:x"), Some("k#1:y")])));
    assert!(
        !passes(&answer("k", "complete", &[Some("k#0:x")])),
        "a task is missing"
    );
    assert!(
        !passes(&answer("k", "complete", &[Some("k#0:x"), Some("k#1:x")])),
        "another's result"
    );
    assert!(
        !passes(&answer("j", "complete", &[Some("k#0:x"), Some("k#1:y")])),
        "another's answer"
    );
    assert!(
        !passes(&answer("k", "failed", &[Some("k#0:x"), None])),
        "a failed answer with a part"
    );
    assert!(passes(&answer("k", "failed", &[None, None])));
    assert!(is_echo(
        "worker-1\nPOST /load/1\nbody\nmore",
        "/load/1",
        "body\nmore"
    ));
    assert!(!is_echo("worker-1\nPOST /load/12\nbody", "/load/1", "body"));
    assert!(!is_echo("worker-1\nPOST /load/1\nbod", "/load/1", "body"));
}

#[test]
fn a_report_survives_its_file_and_is_drawn_without_fetches() {
    let report = report(
        &[job(100, 120, Ending::Complete), job(2500, 300, Ending::Complete)],
        &started("a", &[0]),
    );
    let text = serde_json::to_string(&report).unwrap();
    let read: Report = serde_json::from_str(&text).unwrap();
    assert_eq!(to_text(&read), to_text(&report));
    let page = to_page(&report).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("two &lt;phases&gt;") && !page.contains("<script") && !page.contains("src="));
    assert!(page.contains("<td>jobs: submitted</td><td>2</td>"), "{page}");
    for axis in ["response / ideal", "time since the begin, s", "refusals / s"] {
        assert!(page.contains(axis), "{axis}");
    }
    let refusals = page.split("<svg").nth(4).unwrap();
    assert!(refusals.contains("none"), "an empty plot says so");
    let compared = compare(&report, &read);
    let line = compared
        .lines()
        .find(|line| line.starts_with("job response ms, p50"))
        .unwrap();
    assert!(line.ends_with("1.000"), "{line}");
}

/// Returns the values of `name="NUMBER"` in a drawn element.
fn attribute(element: &str, name: &str) -> f64 {
    let from = element.split(&format!(" {name}=\"")).nth(1).unwrap();
    from.split('"').next().unwrap().parse().unwrap()
}

#[test]
fn a_legend_covers_no_line() {
    let mut refused = job(2500, 300, Ending::Complete);
    refused.refusals.push(Refusal {
        at: Duration::from_millis(3100),
        ending: Ending::NotRun,
    });
    let page = to_page(&report(
        &[job(100, 120, Ending::Complete), refused],
        &started("a", &[0]),
    ))
    .unwrap();
    for plot in page.split("<svg").skip(2) {
        let legend = plot
            .lines()
            .find(|line| line.starts_with("<rect") && line.contains("opacity=\"0.8\""));
        let legend = legend.expect("a legend");
        let bottom = attribute(legend, "y") + attribute(legend, "height");
        let lines = plot.lines().filter(|line| line.contains("stroke-width=\"2\""));
        let points = lines.flat_map(|line| line.split("points=\"").nth(1).unwrap().split(' '));
        let heights = points.filter_map(|point| point.split(',').nth(1)?.trim_end_matches('"').parse().ok());
        let highest: f64 = heights.fold(f64::INFINITY, f64::min);
        assert!(highest.is_finite(), "no line is drawn");
        assert!(
            bottom <= highest,
            "the legend ends at {bottom}, a line is at {highest}"
        );
    }
}
