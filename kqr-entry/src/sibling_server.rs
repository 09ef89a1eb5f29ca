use std::{future::Future, sync::Arc};

use futures::StreamExt;
use kqr_jobs::{JobAnswer, NotAccepted, Submission};
use kqr_placement::Announcement;
use kqr_types::{InstanceId, JobKey, TargetId};
use kqr_wire::siblings::Sibling;
use tarpc::{
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio_util::sync::CancellationToken;

use crate::{entry::Entry, targets};

/// The calls that this entry answers to its siblings.
#[derive(Clone)]
pub struct SiblingServer {
    entry: Arc<Entry>,
}

impl Sibling for SiblingServer {
    async fn submit(
        self,
        _: Context,
        submission: Submission,
        is_waiting: bool,
    ) -> Result<JobAnswer, NotAccepted> {
        self.entry.engine.submit(submission, is_waiting).await
    }

    async fn lookup(self, _: Context, key: JobKey) -> Result<JobAnswer, NotAccepted> {
        self.entry.engine.lookup(key).await
    }

    async fn cancel(self, _: Context, key: JobKey) -> Result<JobAnswer, NotAccepted> {
        self.entry.engine.cancel(key).await
    }

    async fn announced(self, _: Context, announcement: Announcement) {
        targets::take_announcement(&self.entry, &announcement);
    }

    async fn left(self, _: Context, target: TargetId) {
        targets::take_leave(&self.entry, &target);
    }

    async fn ping(self, _: Context) -> InstanceId {
        self.entry.own.id.clone()
    }
}

/// Serves the siblings until `shutdown`.
///
/// # Errors
///
/// Fails if the listener can't be opened.
pub async fn listen(
    entry: Arc<Entry>,
    shutdown: CancellationToken,
) -> std::io::Result<impl Future<Output = ()>> {
    let mut incoming = tcp::listen(entry.own.peers, Bincode::default).await?;
    incoming.config_mut().max_frame_length(64 << 20);
    Ok(async move {
        loop {
            let accepted = tokio::select! {
                accepted = incoming.next() => accepted,
                () = shutdown.cancelled() => return,
            };
            let Some(Ok(transport)) = accepted else { continue };
            let server = SiblingServer {
                entry: Arc::clone(&entry),
            };
            let channel = BaseChannel::with_defaults(transport);
            tokio::spawn(channel.execute(server.serve()).for_each(|reply| async {
                tokio::spawn(reply);
            }));
        }
    })
}
