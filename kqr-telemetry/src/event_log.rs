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

/// Maximum number of events queued for the writer; further ones are dropped.
const MAX_QUEUED_EVENTS: usize = 65_536;

/// Records the events of one process as JSON lines in a rotated file.
#[derive(Debug)]
pub struct EventLog {
    factory: Arc<EventFactory>,
    dropped: Arc<AtomicU64>,
    tx: Option<SyncSender<Message>>,
}

/// Creates the events of one process, with their times and sequence numbers.
#[derive(Debug)]
pub struct EventFactory {
    instance: InstanceId,
    clock: HybridClock,
    sequence: AtomicU64,
}

impl EventFactory {
    /// Returns an event of `kind` with the current time.
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
    /// Creates a log that discards every event.
    pub fn disabled(instance: InstanceId) -> Self {
        let factory = EventFactory {
            instance,
            clock: HybridClock::new(),
            sequence: AtomicU64::new(0),
        };
        Self {
            factory: Arc::new(factory),
            dropped: Arc::new(AtomicU64::new(0)),
            tx: None,
        }
    }

    /// Opens the log at `path` for appending, with the default rotation options.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened or the writer thread can't be started.
    pub fn open(instance: InstanceId, path: &Path) -> eyre::Result<Self> {
        Self::open_with_options(instance, path, RotationOptions::default())
    }

    /// Opens the log at `path` for appending, rotated according to `options`.
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
        let (tx, rx) = sync_channel(MAX_QUEUED_EVENTS);
        let mut log = Self::disabled(instance);
        let writer = EventWriter::new(file, Arc::clone(&log.factory), Arc::clone(&log.dropped));
        std::thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || writer.run(&rx))
            .wrap_err("starting the event writer thread")?;
        log.tx = Some(tx);
        Ok(log)
    }

    /// Returns an event of `kind` with the current time.
    pub fn new_event(&self, kind: EventKind) -> Event {
        self.factory.new_event(kind)
    }

    /// Returns the current hybrid time, which outgoing messages carry.
    pub fn now(&self) -> HybridTime {
        self.factory.clock.read(unix_us())
    }

    /// Merges the time of a received message into the clock, so that later events are ordered after it. Returns false,
    /// and ignores the time, if it is too far ahead of the local clock.
    pub fn merge(&self, received: HybridTime) -> bool {
        self.factory.clock.merge(unix_us(), received)
    }

    /// Queues `event` for writing, or counts it as dropped if the queue is full.
    pub fn record(&self, event: Event) {
        let Some(tx) = &self.tx else { return };
        if tx.try_send(Message::Write(event)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped events.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Blocks until all events recorded so far have been written and flushed to the file.
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
