use std::{
    fs::{File, OpenOptions},
    io::{BufWriter, Write},
    path::Path,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    time::{Duration, SystemTime},
};

use eyre::WrapErr;
use kqr_types::InstanceId;

use crate::{Event, EventKind};

/// Events that may wait for the writer before new ones are dropped.
const QUEUED_EVENTS: usize = 65_536;
/// Longest time that a written event stays in the buffer.
const FLUSH_AFTER: Duration = Duration::from_millis(200);

/// A message to the writer thread.
enum Message {
    /// Writes an event.
    Write(Event),
    /// Flushes the file and confirms it.
    Flush(SyncSender<()>),
}

/// Writer of the events of one process, as JSON lines.
#[derive(Debug)]
pub struct EventLog {
    instance: InstanceId,
    sequence: AtomicU64,
    dropped: AtomicU64,
    tx: Option<SyncSender<Message>>,
}

impl EventLog {
    /// Creates a log that drops every event.
    pub fn disabled(instance: InstanceId) -> Self {
        Self {
            instance,
            sequence: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            tx: None,
        }
    }

    /// Opens the log at `path` for appending.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened or the writer thread can't be started.
    pub fn open(instance: InstanceId, path: &Path) -> eyre::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file = file.wrap_err_with(|| format!("opening the event file {}", path.display()))?;
        let (tx, rx) = sync_channel(QUEUED_EVENTS);
        std::thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || write_events(file, &rx))
            .wrap_err("starting the event writer")?;
        let mut log = Self::disabled(instance);
        log.tx = Some(tx);
        Ok(log)
    }

    /// Returns an event of `kind` with the present time.
    pub fn event(&self, kind: EventKind) -> Event {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Event {
            unix_us: unix.as_micros() as u64,
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

fn write_events(file: File, rx: &Receiver<Message>) {
    let mut out = BufWriter::new(file);
    loop {
        match rx.recv_timeout(FLUSH_AFTER) {
            Ok(Message::Write(event)) => write_event(&mut out, &event),
            Ok(Message::Flush(done)) => {
                flush(&mut out);
                let _ = done.send(());
            }
            Err(RecvTimeoutError::Timeout) => flush(&mut out),
            Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    flush(&mut out);
}

fn write_event(out: &mut BufWriter<File>, event: &Event) {
    let written = serde_json::to_writer(&mut *out, event).map_err(std::io::Error::from);
    if let Err(error) = written.and_then(|()| out.write_all(b"\n")) {
        log::error!("writing an event: {error}");
    }
}

fn flush(out: &mut BufWriter<File>) {
    if let Err(error) = out.flush() {
        log::error!("flushing the event file: {error}");
    }
}
