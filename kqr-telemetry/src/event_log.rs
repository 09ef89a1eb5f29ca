use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{SyncSender, sync_channel},
    },
    time::SystemTime,
};

use eyre::WrapErr;
use kqr_types::InstanceId;

use crate::{
    Event, EventKind, HybridClock, HybridTime, RotationOptions,
    event_writer::{EventWriter, Message},
    rotating_file::RotatingFile,
};

/// Events that may wait for the writer before new ones are dropped.
const QUEUED_EVENTS: usize = 65_536;

/// Recorder of the events of one process, as JSON lines in a rotated file.
#[derive(Debug)]
pub struct EventLog {
    stamp: Arc<Stamp>,
    dropped: Arc<AtomicU64>,
    tx: Option<SyncSender<Message>>,
}

/// What gives each event of a process its place.
#[derive(Debug)]
pub struct Stamp {
    instance: InstanceId,
    clock: HybridClock,
    sequence: AtomicU64,
}

impl Stamp {
    /// Returns an event of `kind` with the present time.
    pub fn new_event(&self, kind: EventKind) -> Event {
        let unix_us = unix_us();
        Event {
            unix_us,
            time: self.clock.read(unix_us),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            instance: self.instance.clone(),
            kind,
            key: None,
            attempt: None,
            target: None,
            peer: None,
            detail: None,
        }
    }
}

impl EventLog {
    /// Creates a log that drops every event.
    pub fn disabled(instance: InstanceId) -> Self {
        let stamp = Stamp {
            instance,
            clock: HybridClock::new(),
            sequence: AtomicU64::new(0),
        };
        Self {
            stamp: Arc::new(stamp),
            dropped: Arc::new(AtomicU64::new(0)),
            tx: None,
        }
    }

    /// Opens the log at `path` for appending, with the default bounds.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened or the writer thread can't be started.
    pub fn open(instance: InstanceId, path: &Path) -> eyre::Result<Self> {
        Self::open_with_options(instance, path, RotationOptions::default())
    }

    /// Opens the log at `path` for appending, within the bounds of `options`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened or the writer thread can't be started.
    pub fn open_with_options(
        instance: InstanceId,
        path: &Path,
        options: RotationOptions,
    ) -> eyre::Result<Self> {
        let file = RotatingFile::open(path, options);
        let file = file.wrap_err_with(|| format!("opening the event file {}", path.display()))?;
        let (tx, rx) = sync_channel(QUEUED_EVENTS);
        let mut log = Self::disabled(instance);
        let writer = EventWriter::new(file, Arc::clone(&log.stamp), Arc::clone(&log.dropped));
        std::thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || writer.run(&rx))
            .wrap_err("starting the event writer")?;
        log.tx = Some(tx);
        Ok(log)
    }

    /// Returns an event of `kind` with the present time.
    pub fn new_event(&self, kind: EventKind) -> Event {
        self.stamp.new_event(kind)
    }

    /// Returns the time for a message that is about to be sent.
    pub fn now(&self) -> HybridTime {
        self.stamp.clock.read(unix_us())
    }

    /// Takes in the time of a received message, so that later events are ordered after it. Returns false if it is too
    /// far ahead of the own clock to be followed.
    pub fn merge(&self, received: HybridTime) -> bool {
        self.stamp.clock.merge(unix_us(), received)
    }

    /// Records `event`, or counts it as dropped if the writer is behind.
    pub fn record(&self, event: Event) {
        let Some(tx) = &self.tx else { return };
        if tx.try_send(Message::Write(event)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many events were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes all events that were recorded before to the file.
    pub fn flush(&self) {
        let Some(tx) = &self.tx else { return };
        let (done, rx) = sync_channel(1);
        if tx.send(Message::Flush(done)).is_ok() {
            let _ = rx.recv();
        }
    }
}

fn unix_us() -> u64 {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    unix.unwrap_or_default().as_micros() as u64
}
