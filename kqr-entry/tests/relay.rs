//! Relayed requests: idempotent ones are retried and hedged, others are sent once, and responses arrive
//! whole.

mod support;

use std::{collections::BTreeMap, time::Duration};

use hyper::Method;
use kqr_jobs::Outcome;
use kqr_standin::Behaviour;
use support::System;

const PATH: &str = "/v1/services/press/plates/7?size=2";

async fn system(runners: usize) -> System {
    let mut system = System::start(&["a"]).await;
    for number in 0..runners {
        system
            .add_standin(0, &format!("runner-{number}"), &["--kind", "runner"])
            .await;
    }
    system
}

fn requests(system: &System) -> u64 {
    system
        .standins
        .iter()
        .map(|standin| standin.standin.requests())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_relayed_with_its_path_query_and_body() {
    let system = system(1).await;
    let body = "b".repeat(1 << 20);
    let reply = system.send(0, Method::POST, PATH, &[], &body).await;
    assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    let text = reply.text();
    let mut lines = text.splitn(3, '\n');
    assert_eq!(lines.next(), Some("runner-0"));
    assert_eq!(lines.next(), Some("POST /plates/7?size=2"));
    assert_eq!(
        lines.next(),
        Some(body.as_str()),
        "a body of 1 MiB must arrive whole"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_the_response_to_its_own_request() {
    let system = system(2).await;
    let mut calls = Vec::new();
    for number in 0..200 {
        let body = format!("body {number}");
        let system = &system;
        calls.push(async move {
            let path = format!("/v1/services/press/n/{number}");
            (number, system.send(0, Method::POST, &path, &[], &body).await)
        });
    }
    for (number, reply) in futures::future::join_all(calls).await {
        let text = reply.text();
        assert!(
            text.ends_with(&format!("POST /n/{number}\nbody {number}")),
            "{number}: {text}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_at_another_target() {
    let mut system = system(2).await;
    let killed = system.standins.remove(0);
    killed.kill();
    let mut counts = BTreeMap::new();
    for _ in 0..20 {
        let reply = system.send(0, Method::GET, PATH, &[], "").await;
        *counts.entry(reply.status.as_u16()).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([(200, 20)]));
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_to_a_silent_target_is_hedged() {
    let system = system(2).await;
    system.standins[0].standin.behave(Behaviour {
        is_silent: true,
        ..Behaviour::default()
    });
    for _ in 0..5 {
        let reply = system
            .send(0, Method::GET, PATH, &[("kqr-deadline-ms", "5000")], "")
            .await;
        assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_is_sent_once_and_reported_as_may_have_run() {
    let system = system(2).await;
    for standin in &system.standins {
        standin.standin.behave(Behaviour {
            loses_every: 1,
            ..Behaviour::default()
        });
    }
    let reply = system
        .send(0, Method::POST, PATH, &[("kqr-deadline-ms", "1500")], "order")
        .await;
    assert_eq!(
        (reply.status.as_u16(), reply.problem().outcome),
        (504, Outcome::MayHaveRun)
    );
    assert_eq!(requests(&system), 1);
    let fields = [("kqr-deadline-ms", "1500"), ("kqr-idempotent", "false")];
    let reply = system.send(0, Method::GET, PATH, &fields, "").await;
    assert_eq!(
        (reply.status.as_u16(), reply.problem().outcome),
        (504, Outcome::MayHaveRun)
    );
    assert_eq!(
        requests(&system),
        2,
        "a request with kqr-idempotent: false must be sent once"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_and_hedges_stay_within_the_budget() {
    let system = system(3).await;
    for standin in &system.standins {
        standin.standin.behave(Behaviour {
            loses_every: 1,
            ..Behaviour::default()
        });
    }
    let calls = (0..100).map(|_| system.send(0, Method::GET, PATH, &[("kqr-deadline-ms", "1500")], ""));
    let replies = futures::future::join_all(calls).await;
    assert!(replies.iter().all(|reply| reply.status.as_u16() != 200));
    let sent = requests(&system);
    assert!(
        sent <= 100 + 20,
        "{sent} requests were sent for 100 of callers; the budget allows 20 more"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_of_abandoned_exchanges_are_released() {
    let system = system(1).await;
    system.standins[0].standin.behave(Behaviour {
        loses_every: 1,
        ..Behaviour::default()
    });
    let calls = (0..8).map(|_| system.send(0, Method::POST, PATH, &[("kqr-deadline-ms", "500")], "x"));
    futures::future::join_all(calls).await;
    system.standins[0].standin.behave(Behaviour::default());
    tokio::time::sleep(Duration::from_millis(200)).await;
    let calls = (0..8).map(|_| system.send(0, Method::POST, PATH, &[("kqr-deadline-ms", "2000")], "x"));
    for reply in futures::future::join_all(calls).await {
        assert_eq!(reply.status.as_u16(), 200, "{}", reply.text());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_header_values_and_unknown_services_are_refused_and_nothing_is_sent() {
    let system = system(1).await;
    let cases = [
        (PATH, ("kqr-idempotent", "maybe"), 400, "kqr-idempotent"),
        (PATH, ("kqr-deadline-ms", "soon"), 400, "kqr-deadline-ms"),
        (
            "/v1/services/nothing/x",
            ("kqr-idempotent", "true"),
            404,
            "service",
        ),
    ];
    for (path, field, status, expected) in cases {
        let reply = system.send(0, Method::GET, path, &[field], "").await;
        let problem = reply.problem();
        assert_eq!(
            (reply.status.as_u16(), problem.field.as_deref()),
            (status, Some(expected))
        );
        assert_eq!(problem.outcome, Outcome::NotRun);
    }
    assert_eq!(requests(&system), 0);
}
