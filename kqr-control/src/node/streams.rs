use std::collections::BTreeMap;

use kqr_settings::{SettingsLog, Version};
use kqr_types::{InstanceId, Instant};

use super::{NodeOptions, NodeOutput, StreamId};

/// Request of an instance to open a settings stream.
#[derive(Clone, Debug)]
pub(super) struct StreamRequest {
    pub(super) instance: InstanceId,
    pub(super) since: Option<Version>,
    pub(super) needs_confirmation: bool,
    pub(super) is_last_resort: bool,
}

/// State of one settings stream.
#[derive(Clone, Debug)]
enum Progress {
    /// Waits until a quorum confirms the highest version.
    AwaitingConfirmation,
    /// Waits until this instance has applied the confirmed version.
    AwaitingVersion(Version),
    /// Last version sent to the following instance, or the version that it had when the stream was opened.
    Sent(Option<Version>),
}

#[derive(Clone, Debug)]
struct Stream {
    instance: InstanceId,
    since: Option<Version>,
    is_last_resort: bool,
    progress: Progress,
}

/// Settings streams that a control instance serves.
#[derive(Clone, Debug, Default)]
pub(super) struct Streams {
    streams: BTreeMap<StreamId, Stream>,
    next_heartbeat: Instant,
}

impl Streams {
    /// Opens the stream `id` for `request`.
    pub(super) fn open(&mut self, id: StreamId, request: StreamRequest, outputs: &mut Vec<NodeOutput>) {
        let progress = if request.needs_confirmation {
            outputs.push(NodeOutput::ConfirmStream { stream: id });
            Progress::AwaitingConfirmation
        } else {
            Progress::Sent(request.since)
        };
        let stream = Stream {
            instance: request.instance,
            since: request.since,
            is_last_resort: request.is_last_resort,
            progress,
        };
        self.streams.insert(id, stream);
    }

    /// Closes all streams except those for which this instance is the last resort.
    pub(super) fn close_redirectable(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.streams.retain(|&stream, state| {
            if !state.is_last_resort {
                outputs.push(NodeOutput::Close { stream });
            }
            state.is_last_resort
        });
    }

    /// Records the highest accepted version, as a quorum confirmed it for a stream.
    pub(super) fn record_confirmation(&mut self, id: StreamId, version: Version) {
        if let Some(stream) = self.streams.get_mut(&id)
            && matches!(stream.progress, Progress::AwaitingConfirmation)
        {
            stream.progress = Progress::AwaitingVersion(version);
        }
    }

    /// Removes a stream that has ended.
    pub(super) fn close(&mut self, id: StreamId) {
        self.streams.remove(&id);
    }

    /// Sends the present version of `log` on each stream that lacks it, unless the stream waits for a
    /// confirmation or for a higher version.
    pub(super) fn send_updates(&mut self, log: &SettingsLog, outputs: &mut Vec<NodeOutput>) {
        let current = log.version();
        for (&id, stream) in &mut self.streams {
            let (base, is_confirmed) = match stream.progress {
                Progress::AwaitingVersion(version) if version <= current => (stream.since, true),
                Progress::Sent(sent) if sent.is_none_or(|sent| sent < current) => (sent, false),
                _ => continue,
            };
            stream.progress = Progress::Sent(Some(current));
            outputs.push(NodeOutput::Update {
                stream: id,
                update: log.update_since(base),
                is_confirmed,
            });
        }
    }

    /// Sends heartbeats if they are due, and repeats the requests for missing confirmations.
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
            if matches!(state.progress, Progress::AwaitingConfirmation) {
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

    /// Returns the following instances with the last version sent to each.
    pub(super) fn followers(&self) -> impl Iterator<Item = (&InstanceId, Option<Version>)> {
        self.streams.values().map(|stream| {
            let sent = match stream.progress {
                Progress::Sent(sent) => sent,
                Progress::AwaitingConfirmation | Progress::AwaitingVersion(_) => stream.since,
            };
            (&stream.instance, sent)
        })
    }
}
