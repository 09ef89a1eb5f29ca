//! Malformed input is refused with an error that names the field; it starts no task, and the process goes on
//! serving.

mod support;

use std::time::Duration;

use hyper::Method;
use kqr_jobs::{JobState, Outcome};
use support::{System, job};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

struct Case {
    name: &'static str,
    fields: Vec<(&'static str, &'static str)>,
    body: String,
    status: u16,
    field: &'static str,
}

fn cases() -> Vec<Case> {
    let key = ("idempotency-key", "k");
    let case = |name, fields: &[(&'static str, &'static str)], body: &str, status, field| Case {
        name,
        fields: fields.to_vec(),
        body: body.to_owned(),
        status,
        field,
    };
    let one = job(&[1]);
    vec![
        case("malformed body", &[key], "{", 400, "body"),
        case(
            "unknown field in the body",
            &[key],
            r#"{"service":"press","tasks":[],"speed":1}"#,
            400,
            "body",
        ),
        case("oversize body", &[key], &" ".repeat(17 << 20), 413, "body"),
        case(
            "unknown service",
            &[key],
            &one.replace("press", "nothing"),
            404,
            "service",
        ),
        case("191 tasks", &[key], &job(&[1; 191]), 400, "tasks"),
        case("no task", &[key], &job(&[]), 400, "tasks"),
        case("missing key", &[], &one, 400, "idempotency-key"),
        case(
            "key with a space",
            &[("idempotency-key", "a b")],
            &one,
            400,
            "idempotency-key",
        ),
        case(
            "key that is not ASCII",
            &[("idempotency-key", "\u{e9}")],
            &one,
            400,
            "idempotency-key",
        ),
        case(
            "unknown attempt",
            &[key, ("kqr-attempt", "first")],
            &one,
            400,
            "kqr-attempt",
        ),
        case(
            "attempt 0",
            &[key, ("kqr-attempt", "0")],
            &one,
            400,
            "kqr-attempt",
        ),
        case(
            "unknown deadline",
            &[key, ("kqr-deadline-ms", "2s")],
            &one,
            400,
            "kqr-deadline-ms",
        ),
        case(
            "deadline too long",
            &[key, ("kqr-deadline-ms", "600001")],
            &one,
            400,
            "kqr-deadline-ms",
        ),
        case("unknown team", &[key, ("kqr-team", "")], &one, 400, "kqr-team"),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_submissions_are_refused_with_the_field_and_start_nothing() {
    let mut system = System::start(&["a"]).await;
    system.add_standin(0, "worker-1", &[]).await;
    for case in cases() {
        let reply = system
            .send(0, Method::POST, "/v1/jobs", &case.fields, &case.body)
            .await;
        assert_eq!(
            reply.status.as_u16(),
            case.status,
            "{}: {}",
            case.name,
            reply.text()
        );
        let problem = reply.problem();
        assert_eq!(problem.field.as_deref(), Some(case.field), "{}", case.name);
        assert_eq!(problem.outcome, Outcome::NotRun, "{}", case.name);
    }
    let wait = system
        .send(
            0,
            Method::POST,
            "/v1/jobs?wait=maybe",
            &[("idempotency-key", "k")],
            &job(&[1]),
        )
        .await;
    assert_eq!(
        (wait.status.as_u16(), wait.problem().field.as_deref()),
        (400, Some("query"))
    );
    assert_eq!(system.starts(), (0, 0), "a refused submission must start nothing");
    let valid = system.submit(0, "k", &[1]).await;
    assert_eq!(
        valid.answer().state,
        JobState::Complete,
        "the key of a refused submission must stay usable"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn body_that_is_not_utf8_is_refused() {
    let mut system = System::start(&["a"]).await;
    system.add_standin(0, "worker-1", &[]).await;
    let mut stream = TcpStream::connect(system.addresses[0].callers).await.unwrap();
    let mut body = job(&[1]).into_bytes();
    let position = body.iter().position(|b| *b == b'p').unwrap();
    body[position] = 0xff;
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: x\r\nidempotency-key: u\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let mut buf = vec![0; 1024];
    let read = stream.read(&mut buf).await.unwrap();
    let text = String::from_utf8_lossy(&buf[..read]).into_owned();
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    assert!(text.contains("\"field\":\"body\""), "{text}");
    assert_eq!(system.starts(), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_with_a_slow_body_is_refused_and_others_are_served() {
    let mut system = System::start(&["a"]).await;
    system.add_standin(0, "worker-1", &[]).await;
    let mut stream = TcpStream::connect(system.addresses[0].callers).await.unwrap();
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: x\r\nidempotency-key: slow\r\ncontent-length: 1000\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.unwrap();
    let other = system.submit(0, "other", &[1]).await;
    assert_eq!(other.answer().state, JobState::Complete);
    let mut buf = vec![0; 1024];
    let read = tokio::time::timeout(Duration::from_secs(15), stream.read(&mut buf)).await;
    let text =
        String::from_utf8_lossy(&buf[..read.expect("the slow caller must be refused").unwrap()]).into_owned();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert_eq!(system.starts(), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn key_reused_with_another_body_is_a_conflict() {
    let mut system = System::start(&["a"]).await;
    system.add_standin(0, "worker-1", &[]).await;
    assert_eq!(
        system.submit(0, "k", &[1]).await.answer().state,
        JobState::Complete
    );
    let reply = system.submit(0, "k", &[1, 1]).await;
    assert_eq!(
        (reply.status.as_u16(), reply.problem().field.as_deref()),
        (409, Some("idempotency-key"))
    );
    assert_eq!(system.starts(), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_paths_and_methods_are_refused() {
    let system = System::start(&["a"]).await;
    let cases = [
        (Method::GET, "/"),
        (Method::PUT, "/v1/jobs"),
        (Method::PATCH, "/v1/jobs/k"),
        (Method::GET, "/v2/jobs"),
    ];
    for (method, path) in cases {
        let reply = system.send(0, method.clone(), path, &[], "").await;
        assert_eq!(
            (reply.status.as_u16(), reply.problem().field.as_deref()),
            (404, Some("path")),
            "{method} {path}"
        );
    }
    let key = system.send(0, Method::GET, "/v1/jobs/%ff", &[], "").await;
    assert_eq!(
        (key.status.as_u16(), key.problem().field.as_deref()),
        (400, Some("key"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_still_sends_an_oversize_body_receives_the_refusal() {
    let system = System::start(&["a"]).await;
    let body = " ".repeat(24 << 20);
    let fields = [("idempotency-key", "large")];
    let calls = (0..8).map(|_| system.send(0, Method::POST, "/v1/jobs", &fields, &body));
    for reply in futures::future::join_all(calls).await {
        assert_eq!(
            (reply.status.as_u16(), reply.problem().field.as_deref()),
            (413, Some("body"))
        );
    }
}
