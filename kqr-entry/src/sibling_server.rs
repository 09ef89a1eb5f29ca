use std::{future::Future, sync::Arc};

use futures::{StreamExt, future::poll_immediate};
use kqr_jobs::{JobAnswer, NotAccepted};
use kqr_telemetry::HybridTime;
use kqr_tls::{PeerIdentity, PeerListener, TransportSecurity};
use kqr_types::{DataCentre, Incarnation, InstanceId};
use kqr_wire::{
    entry_message::EntryMessage,
    siblings::{DeliveryReply, JobCall, Sibling},
};
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{entry::Entry, sibling_links::frame_stream};

/// The service that answers the calls of siblings.
#[derive(Clone)]
pub struct SiblingServer {
    entry: Arc<Entry>,
    /// Identity of the other end of the connection.
    peer: PeerIdentity,
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
        mails: Vec<EntryMessage>,
    ) -> DeliveryReply {
        if !self.peer.can_act_as(&from) {
            log::warn!("refused messages from {from}: the certificate belongs to another instance");
            return self.entry.empty_response();
        }
        self.entry.engine.events.merge(time);
        for mail in mails {
            self.entry.receive_mail(&from, incarnation, mail);
        }
        self.entry.reply_to(&from)
    }

    async fn ping(self, _: Context) -> InstanceId {
        self.entry.own.id.clone()
    }
}

/// Opens the listener for siblings, whose connections use `security`. The returned future serves them until
/// `shutdown`.
///
/// # Errors
///
/// Fails if the listener can't be opened.
pub async fn listen(
    entry: Arc<Entry>,
    security: TransportSecurity,
    shutdown: CancellationToken,
) -> std::io::Result<impl Future<Output = ()>> {
    let listener = TcpListener::bind(entry.own.peers).await?;
    let mut incoming = PeerListener::start(listener, security, shutdown.clone());
    Ok(async move {
        while let Some(stream) = incoming.recv().await {
            let server = SiblingServer {
                entry: Arc::clone(&entry),
                peer: stream.identity().clone(),
            };
            let transport = serde_transport::new(frame_stream(stream), Bincode::default());
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(server.serve()).for_each(run_call);
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

/// Polls a call once, and spawns a task for it only if it has to wait. The delivery of messages never waits.
async fn run_call<F>(call: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut call = Box::pin(call);
    if poll_immediate(&mut call).await.is_none() {
        tokio::spawn(call);
    }
}
