use std::{sync::Arc, time::Duration};

use hyper::Method;
use kqr_http::{Client, ClientOptions};
use tokio_util::sync::CancellationToken;

use crate::api::Standin;

/// Time between two announcements.
const RENEW_EVERY: Duration = Duration::from_secs(1);
/// Longest time for one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Announces the target to the first entry that answers, until `shutdown`; then announces that it leaves.
pub async fn run(standin: Arc<Standin>, shutdown: CancellationToken) {
    let client = Client::new(ClientOptions {
        connect_timeout: ANNOUNCE_TIMEOUT,
        ..ClientOptions::default()
    });
    loop {
        let is_draining = standin.behaviour().drains;
        announce(&standin, &client, !is_draining).await;
        tokio::select! {
            () = tokio::time::sleep(RENEW_EVERY) => {}
            () = shutdown.cancelled() => break,
        }
    }
    announce(&standin, &client, false).await;
}

async fn announce(standin: &Standin, client: &Client, is_staying: bool) {
    for entry in &standin.options.entries {
        let (method, path) = if is_staying {
            (Method::POST, format!("http://{entry}/v1/targets"))
        } else {
            (
                Method::DELETE,
                format!(
                    "http://{entry}/v1/targets/{}?incarnation={}",
                    standin.options.id, standin.options.incarnation
                ),
            )
        };
        let Ok(uri) = path.parse() else { continue };
        let announcement = standin.announcement();
        match client
            .send_json(method, uri, Some(&announcement), ANNOUNCE_TIMEOUT)
            .await
        {
            Ok((status, _)) if status.is_success() => return,
            Ok((status, text)) => log::warn!("entry {entry}: {status}: {}", String::from_utf8_lossy(&text)),
            Err(error) => log::debug!("entry {entry}: {error}"),
        }
    }
}
