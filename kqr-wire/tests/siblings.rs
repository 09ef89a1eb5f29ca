//! Calls between sibling entries over streams of `kqr-tls`.

#[path = "../../kqr-tls/tests/support/authority.rs"]
mod authority;

use std::{collections::BTreeSet, path::Path, sync::Arc};

use authority::Authority;
use futures::StreamExt;
use kqr_jobs::{JobAnswer, NotAccepted};
use kqr_telemetry::HybridTime;
use kqr_tls::{PeerListener, TlsCredentials, TransportSecurity};
use kqr_types::{DataCentre, Incarnation, InstanceId};
use kqr_wire::{
    entry_message::EntryMessage,
    siblings::{DeliveryReply, JobCall, Sibling, SiblingClient},
};
use tarpc::{
    client,
    context::{self, Context},
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const MAX_FRAME_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Server;

impl Sibling for Server {
    async fn job(
        self,
        _: Context,
        _: JobCall,
        _: Option<DataCentre>,
        _: u8,
        _: HybridTime,
    ) -> Result<JobAnswer, NotAccepted> {
        unimplemented!("not called")
    }

    async fn deliver(
        self,
        _: Context,
        _: InstanceId,
        _: Incarnation,
        _: HybridTime,
        _: Vec<EntryMessage>,
    ) -> DeliveryReply {
        unimplemented!("not called")
    }

    async fn ping(self, _: Context) -> InstanceId {
        id("entry-1")
    }
}

fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

async fn ping(server: TransportSecurity, caller: TransportSecurity) -> std::io::Result<InstanceId> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let mut incoming = PeerListener::start(listener, server, CancellationToken::new());
    tokio::spawn(async move {
        while let Some(stream) = incoming.recv().await {
            let transport = serde_transport::new(Framed::new(stream, codec()), Bincode::default());
            let calls = BaseChannel::with_defaults(transport).execute(Server.serve());
            tokio::spawn(calls.for_each(|reply| reply));
        }
    });
    let stream = caller.connect(&id("entry-1"), address).await?;
    let transport = serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let client = SiblingClient::new(client::Config::default(), transport).spawn();
    let answer = client.ping(context::current()).await;
    answer.map_err(std::io::Error::other)
}

fn mutual(authority: &Authority, folder: &Path, own: &str) -> TransportSecurity {
    let known = BTreeSet::from([id("entry-1"), id("entry-2")]);
    let files = authority.write(folder, own, own);
    TransportSecurity::Mutual(Arc::new(TlsCredentials::read(id(own), known, files).unwrap()))
}

#[tokio::test]
async fn siblings_call_each_other_over_plain_and_mutual_streams() {
    let answer = ping(TransportSecurity::Plain, TransportSecurity::Plain).await;
    assert_eq!(answer.unwrap(), id("entry-1"));

    let folder = tempfile::tempdir().unwrap();
    let authority = Authority::new("first");
    let server = mutual(&authority, folder.path(), "entry-1");
    let caller = mutual(&authority, folder.path(), "entry-2");
    assert_eq!(ping(server.clone(), caller).await.unwrap(), id("entry-1"));
    let stranger = mutual(&authority, folder.path(), "stranger");
    assert!(ping(server, stranger).await.is_err());
}
