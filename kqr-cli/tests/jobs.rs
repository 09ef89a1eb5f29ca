//! `kqr jobs` against an entry that answers what it is told.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use clap::Parser;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use kqr::{Cli, Failure, FailureKind};
use kqr_http::{ServerOptions, json_response, serve};
use kqr_jobs::{JobState, Outcome};
use kqr_wire::callers::{JobAnswerBody, ProblemBody, TaskAnswerBody};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

type Calls = Arc<Mutex<Vec<String>>>;

/// Starts an entry that answers each call with `reply`, and notes the calls.
async fn entry<Reply>(reply: Reply) -> (SocketAddr, Calls)
where
    Reply: Fn() -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Calls::default();
    let noted = Arc::clone(&calls);
    let handler = move |req: hyper::Request<hyper::body::Incoming>, _| {
        let call = format!("{} {}", req.method(), req.uri().path());
        noted.lock().unwrap().push(call);
        let reply = reply();
        async move { reply }
    };
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, ServerOptions::default(), stop, handler));
    (address, calls)
}

fn answer(status: StatusCode, state: JobState, outcome: Outcome) -> Response<Full<Bytes>> {
    let task = TaskAnswerBody {
        task: kqr_types::TaskIndex(0),
        outcome,
        result: None,
        reason: Some("no target was left".to_owned()),
    };
    let body = JobAnswerBody {
        key: "uppsala/a?b%".parse().unwrap(),
        state,
        outcome,
        tasks: vec![task],
    };
    json_response(status, "application/json", &body)
}

fn problem(status: StatusCode, kind: &str) -> Response<Full<Bytes>> {
    let body = ProblemBody {
        kind: kind.to_owned(),
        status: status.as_u16(),
        detail: "told by the entry".to_owned(),
        outcome: Outcome::MayHaveRun,
        field: None,
    };
    json_response(status, "application/problem+json", &body)
}

async fn run(words: &[&str], entries: &[SocketAddr]) -> Result<String, Failure> {
    let entries: Vec<String> = entries.iter().map(ToString::to_string).collect();
    let entries = entries.join(",");
    let mut line = vec!["kqr", "jobs"];
    line.extend(words);
    line.extend(["--entry", &entries, "--timeout", "2"]);
    kqr::run(Cli::try_parse_from(line).unwrap()).await
}

/// Returns an address that nobody listens at.
async fn silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn a_job_is_shown_and_cancelled_under_its_whole_key() {
    let failed = || answer(StatusCode::BAD_GATEWAY, JobState::Failed, Outcome::MayHaveRun);
    let (address, calls) = entry(failed).await;
    let text = run(&["show", "uppsala/a?b%"], &[silent().await, address])
        .await
        .unwrap();
    assert!(
        text.starts_with("uppsala/a?b%: failed (may-have-run)\n"),
        "{text}"
    );
    assert!(
        text.contains("task 0: may-have-run, no target was left"),
        "{text}"
    );
    let json = run(&["cancel", "uppsala/a?b%", "--output", "json"], &[address]).await;
    let json: Value = serde_json::from_str(&json.unwrap()).unwrap();
    assert_eq!(json["state"], "failed");
    let calls = calls.lock().unwrap();
    let path = "/v1/jobs/uppsala%2Fa%3Fb%25";
    assert_eq!(*calls, [format!("GET {path}"), format!("DELETE {path}")]);
}

#[tokio::test]
async fn refusals_have_their_exit_codes() {
    for (status, kind, expected, code) in [
        (StatusCode::NOT_FOUND, "unknown-key", FailureKind::UnknownJob, 9),
        (
            StatusCode::SERVICE_UNAVAILABLE,
            "home-unreachable",
            FailureKind::Unavailable,
            6,
        ),
        (StatusCode::BAD_REQUEST, "bad-request", FailureKind::Invalid, 4),
        (StatusCode::CONFLICT, "history-lost", FailureKind::Other, 1),
    ] {
        let (address, _) = entry(move || problem(status, kind)).await;
        let failure = run(&["show", "k"], &[address]).await.unwrap_err();
        assert_eq!((failure.kind, failure.exit_code()), (expected, code), "{failure}");
        assert!(failure.detail.contains("may-have-run"), "{failure}");
        assert_eq!(failure.peer, Some(address.to_string()));
    }
    let failure = run(&["cancel", "k"], &[silent().await]).await.unwrap_err();
    assert_eq!((failure.kind, failure.exit_code()), (FailureKind::Unreachable, 8));
}

#[test]
fn the_new_operations_have_help_and_completions() {
    use clap::CommandFactory;
    let mut script = Vec::new();
    let shell = clap_complete::Shell::Bash;
    clap_complete::generate(shell, &mut Cli::command(), "kqr", &mut script);
    let script = String::from_utf8(script).unwrap();
    for operation in ["quota__subcmd__set", "jobs__subcmd__cancel"] {
        assert!(script.contains(operation), "{operation}");
    }
    for line in [["quota", "set"], ["jobs", "show"]] {
        let help = Cli::try_parse_from(["kqr", line[0], line[1], "--help"]).unwrap_err();
        assert_eq!(help.kind(), clap::error::ErrorKind::DisplayHelp);
    }
}
