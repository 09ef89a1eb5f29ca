//! A graceful shutdown finishes all accepted work.

mod support;

use std::time::Duration;

use hyper::{Method, StatusCode};
use kqr_jobs::JobState;
use support::{System, job};

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_fails_readiness_first_and_finishes_accepted_work() {
    let mut system = System::start(&["a"]).await;
    system.add_standin(0, "worker-1", &[]).await;
    let entry = system.entries[0].take().unwrap();
    let running = system.submit(0, "running", &[1500, 1500]);
    let close = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        entry.close().await
    };
    let during = async {
        tokio::time::sleep(Duration::from_millis(450)).await;
        let readiness = system.send(0, Method::GET, "/readyz", &[], "").await.status;
        let late = system.submit(0, "late", &[300]).await;
        (readiness, late)
    };
    let (reply, is_finished, (readiness, late)) = tokio::join!(running, close, during);
    assert_eq!(reply.answer().state, JobState::Complete);
    assert_eq!(readiness, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        late.answer().state,
        JobState::Complete,
        "a job that arrives before the listener closes must be accepted"
    );
    assert!(is_finished);
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_finishes_accepted_work_without_a_waiting_caller() {
    let mut system = System::start(&["a"]).await;
    system.add_standin(0, "worker-1", &[]).await;
    let fields = [("idempotency-key", "background")];
    let accepted = system
        .send(0, Method::POST, "/v1/jobs?wait=false", &fields, &job(&[1000]))
        .await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED, "{}", accepted.text());
    let entry = system.entries[0].take().unwrap();
    assert!(entry.close().await);
    let starts = system.standins[0].standin.starts();
    assert_eq!(starts.attempts.len(), 1);
    assert_eq!(
        starts.finished, 1,
        "the accepted task must end before the entry does"
    );
}
