use std::{future::Future, sync::Arc};

use futures::{StreamExt, future::poll_immediate};
use kqr_jobs::{JobAnswer, NotAccepted};
use kqr_telemetry::HybridTime;
use kqr_types::{DataCentre, Incarnation, InstanceId};
use kqr_wire::{
    mail::Mail,
    siblings::{JobCall, MailReply, Sibling},
};
use tarpc::{
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio_util::sync::CancellationToken;

use crate::{entry::Entry, sibling_links::MAX_FRAME_BYTES};

/// The calls that this entry answers to its siblings.
#[derive(Clone)]
pub struct SiblingServer {
    entry: Arc<Entry>,
}

impl Sibling for SiblingServer {
    async fn job(
        self,
        _: Context,
        call: JobCall,
        data_centre: Option<DataCentre>,
        hops: u8,
        time: HybridTime,
    ) -> Result<JobAnswer, NotAccepted> {
        self.entry.engine.events.merge(time);
        self.entry.call(call, data_centre.as_ref(), hops).await
    }

    async fn deliver(
        self,
        _: Context,
        from: InstanceId,
        incarnation: Incarnation,
        time: HybridTime,
        mails: Vec<Mail>,
    ) -> MailReply {
        self.entry.engine.events.merge(time);
        for mail in mails {
            self.entry.take_mail(&from, incarnation, mail);
        }
        self.entry.reply_to(&from)
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
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    Ok(async move {
        loop {
            let accepted = tokio::select! {
                accepted = incoming.next() => accepted,
                () = shutdown.cancelled() => return,
            };
            let Some(Ok(transport)) = accepted else { continue };
            if transport.get_ref().set_nodelay(true).is_err() {
                continue;
            }
            let server = SiblingServer {
                entry: Arc::clone(&entry),
            };
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(server.serve()).for_each(answer);
            let shutdown = shutdown.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = calls => {}
                    () = shutdown.cancelled() => {}
                }
            });
        }
    })
}

/// Answers a call here if that needs no wait, as the delivery of messages does, and otherwise in a task of its own.
async fn answer<F>(call: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut call = Box::pin(call);
    if poll_immediate(&mut call).await.is_none() {
        tokio::spawn(call);
    }
}
