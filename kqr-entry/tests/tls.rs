//! Mutual TLS between entries: connections without a certificate of a known instance are refused, and an
//! instance can't send messages under another identity.

#[path = "../../kqr-tls/tests/support/authority.rs"]
mod authority;
mod support;

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use authority::Authority;
use kqr_agreement::VoterId;
use kqr_jobs::JobState;
use kqr_membership::{Body, CellMessage, WallClock};
use kqr_telemetry::HybridTime;
use kqr_tls::{TlsCredentials, TransportSecurity};
use kqr_types::{Epoch, Incarnation, InstanceId};
use kqr_wire::{
    entry_message::EntryMessage,
    siblings::{DeliveryReply, SiblingClient},
};
use support::System;
use tarpc::{
    client, context, serde_transport,
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Lead of the hybrid time of a hello over the wall clock. A receiver accepts up to a minute.
const LEAD: Duration = Duration::from_secs(30);
/// Number of hellos of one sender.
const HELLO_COUNT: usize = 100;

fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

/// Returns the security of an instance with a certificate for `name`.
fn security(authority: &Authority, folder: &Path, name: &str) -> TransportSecurity {
    let known = (0..3).map(|index| id(&format!("entry-{index}")));
    let files = authority.write(folder, name, name);
    let keys = TlsCredentials::read(id(name), known.collect(), files).unwrap();
    TransportSecurity::Mutual(Arc::new(keys))
}

async fn start(authority: &Authority, folder: &Path) -> System {
    let mut system = System::prepare(&["a", "a", "a"]);
    for index in 0..3 {
        let name = format!("entry-{index}");
        system.securities.push(security(authority, folder, &name));
    }
    for index in 0..3 {
        let entry = system.start_entry(index).await;
        system.entries.push(Some(entry));
    }
    for index in 0..3 {
        system.wait_until_ready(index).await;
    }
    system
}

/// Returns a hybrid time that no entry has reached.
fn time_ahead() -> HybridTime {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() + LEAD;
    HybridTime::from_unix_us(u64::try_from(time.as_micros()).unwrap())
}

/// Sends entry 0 the `Hello` of an instance without a cell, with `name` as the sender, at the hybrid time `time`.
async fn send_hello(
    system: &System,
    security: &TransportSecurity,
    name: &str,
    time: HybridTime,
) -> std::io::Result<DeliveryReply> {
    let peer = &system.bootstrap.instances[0];
    let stream = security.connect(&peer.id, peer.peers).await?;
    let frames = Framed::new(stream, LengthDelimitedCodec::new());
    let transport = serde_transport::new(frames, Bincode::default());
    let client = SiblingClient::new(client::Config::default(), transport).spawn();
    let message = CellMessage {
        from: VoterId::new(id(name), Incarnation(1)),
        group: None,
        bodies: vec![Body::Hello {
            wall_clock: WallClock(0),
            highest_epoch: Epoch(0),
        }],
    };
    let mail = EntryMessage::Cell {
        data_centre: "a".parse().unwrap(),
        message,
    };
    let reply = client.deliver(context::current(), id(name), Incarnation(1), time, vec![mail]);
    reply.await.map_err(std::io::Error::other)
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_with_certificates_serve_and_refuse_unknown_or_false_identities() {
    let folder = tempfile::tempdir().unwrap();
    let authority = Authority::new("own");
    let mut system = start(&authority, folder.path()).await;
    system.add_standin(0, "worker-a", &[]).await;
    system.wait_for_slots_everywhere().await;
    for number in 0..6 {
        let reply = system.submit(number % 3, &format!("key-{number}"), &[10]).await;
        assert_eq!(reply.answer().state, JobState::Complete, "{}", reply.text());
    }
    assert_eq!(system.starts(), (6, 0));

    let other = tempfile::tempdir().unwrap();
    let foreign = security(&Authority::new("other"), other.path(), "entry-1");
    let time = time_ahead();
    send_hello(&system, &foreign, "entry-1", time).await.unwrap_err();
    send_hello(&system, &TransportSecurity::Plain, "entry-1", time)
        .await
        .unwrap_err();
    let unknown = security(&authority, folder.path(), "entry-9");
    send_hello(&system, &unknown, "entry-9", time).await.unwrap_err();

    let member = system.securities[1].clone();
    for _ in 0..HELLO_COUNT {
        let refused = send_hello(&system, &member, "entry-2", time).await.unwrap();
        assert!(refused.mails.is_empty() && refused.time < time);
    }
    // The answer is in the reply, unless the sender of the messages to entry 1 has taken it before.
    let mut answers = 0;
    for _ in 0..HELLO_COUNT {
        let accepted = send_hello(&system, &member, "entry-1", time).await.unwrap();
        assert!(accepted.time > time);
        answers += accepted.mails.len();
    }
    assert!(answers > 0);
}
