use std::collections::BTreeMap;

use kqr_settings::{SettingsLog, Version};
use kqr_types::{InstanceId, Instant};

use super::{NodeOptions, NodeOutput, StreamId};

/// What the instance at the other end of a stream asked for.
#[derive(Clone, Debug)]
pub(super) struct Follow {
    pub(super) instance: InstanceId,
    pub(super) since: Option<Version>,
    pub(super) needs_confirmation: bool,
    pub(super) is_last_resort: bool,
}

/// State of one settings stream.
#[derive(Clone, Debug)]
enum Progress {
    /// Waits until a quorum has confirmed the highest version.
    Unconfirmed,
    /// Waits until this instance has the confirmed version.
    Behind(Version),
    /// The instance at the other end has been sent the version.
    Sent(Option<Version>),
}

#[derive(Clone, Debug)]
struct Stream {
    instance: InstanceId,
    since: Option<Version>,
    is_last_resort: bool,
    progress: Progress,
}

/// The settings streams that are open at a control instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Streams {
    streams: BTreeMap<StreamId, Stream>,
    next_heartbeat: Instant,
}

impl Streams {
    /// Opens a stream that has asked for `follow`.
    pub(super) fn open(&mut self, id: StreamId, follow: Follow, outputs: &mut Vec<NodeOutput>) {
        let progress = if follow.needs_confirmation {
            outputs.push(NodeOutput::ConfirmStream { stream: id });
            Progress::Unconfirmed
        } else {
            Progress::Sent(follow.since)
        };
        let stream = Stream {
            instance: follow.instance,
            since: follow.since,
            is_last_resort: follow.is_last_resort,
            progress,
        };
        self.streams.insert(id, stream);
    }

    /// Closes the streams that another control instance can serve.
    pub(super) fn shed(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.streams.retain(|&stream, state| {
            if !state.is_last_resort {
                outputs.push(NodeOutput::Close { stream });
            }
            state.is_last_resort
        });
    }

    /// Notes the highest version that a quorum confirmed for a stream.
    pub(super) fn confirm(&mut self, id: StreamId, version: Version) {
        if let Some(stream) = self.streams.get_mut(&id)
            && matches!(stream.progress, Progress::Unconfirmed)
        {
            stream.progress = Progress::Behind(version);
        }
    }

    /// Closes a stream.
    pub(super) fn close(&mut self, id: StreamId) {
        self.streams.remove(&id);
    }

    /// Sends each stream what it lacks of `log`.
    pub(super) fn advance(&mut self, log: &SettingsLog, outputs: &mut Vec<NodeOutput>) {
        let present = log.version();
        for (&id, stream) in &mut self.streams {
            let (base, is_confirmed) = match stream.progress {
                Progress::Behind(version) if version <= present => (stream.since, true),
                Progress::Sent(sent) if sent.is_none_or(|sent| sent < present) => (sent, false),
                _ => continue,
            };
            stream.progress = Progress::Sent(Some(present));
            outputs.push(NodeOutput::Update {
                stream: id,
                update: log.update_since(base),
                is_confirmed,
            });
        }
    }

    /// Sends heartbeats if they are due, and asks again for confirmations that have not come.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        options: &NodeOptions,
        log: &SettingsLog,
        is_in_touch: bool,
        outputs: &mut Vec<NodeOutput>,
    ) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + options.stream_heartbeat_interval;
        for (&stream, state) in &self.streams {
            if matches!(state.progress, Progress::Unconfirmed) {
                outputs.push(NodeOutput::ConfirmStream { stream });
            }
            outputs.push(NodeOutput::Heartbeat {
                stream,
                version: log.version(),
                digest: log.tree().digest(),
                is_in_touch,
            });
        }
    }

    /// Returns the following instances with the version that each was sent last.
    pub(super) fn list(&self) -> impl Iterator<Item = (&InstanceId, Option<Version>)> {
        self.streams.values().map(|stream| {
            let sent = match stream.progress {
                Progress::Sent(sent) => sent,
                Progress::Unconfirmed | Progress::Behind(_) => stream.since,
            };
            (&stream.instance, sent)
        })
    }
}
