use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender},
    },
    time::Duration,
};

use crate::{Event, EventKind, event_log::Stamp, rotating_file::RotatingFile};

/// Longest time that a written event stays in the buffer.
const FLUSH_AFTER: Duration = Duration::from_millis(200);
/// Most events that are written before the buffer is flushed.
const FLUSH_EVENTS: u32 = 1024;

/// A message to the writer thread.
#[derive(Debug)]
pub enum Message {
    /// Writes an event.
    Write(Event),
    /// Flushes the file and confirms it.
    Flush(SyncSender<()>),
}

/// The writer thread of an event log.
#[derive(Debug)]
pub struct EventWriter {
    file: RotatingFile,
    stamp: Arc<Stamp>,
    dropped: Arc<AtomicU64>,
    told_dropped: u64,
    unflushed: u32,
}

impl EventWriter {
    /// Creates the writer of `file`. It adds to `dropped` what it can't write.
    pub const fn new(file: RotatingFile, stamp: Arc<Stamp>, dropped: Arc<AtomicU64>) -> Self {
        Self {
            file,
            stamp,
            dropped,
            told_dropped: 0,
            unflushed: 0,
        }
    }

    /// Writes what is received until the sender is dropped.
    pub fn run(mut self, rx: &Receiver<Message>) {
        loop {
            match rx.recv_timeout(FLUSH_AFTER) {
                Ok(Message::Write(event)) => self.write(&event),
                Ok(Message::Flush(done)) => {
                    self.flush();
                    let _ = done.send(());
                }
                Err(RecvTimeoutError::Timeout) => self.flush(),
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        self.flush();
    }

    fn write(&mut self, event: &Event) {
        let line = serde_json::to_vec(event).map_err(io::Error::from);
        if let Err(error) = line.and_then(|line| self.file.write_line(&line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            log::error!("writing an event: {error}");
        }
        self.unflushed += 1;
        if self.unflushed >= FLUSH_EVENTS {
            self.flush();
        }
    }

    /// Tells in the file how many events were dropped, and flushes it.
    fn flush(&mut self) {
        self.unflushed = 0;
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > self.told_dropped {
            let mut event = self.stamp.new_event(EventKind::EventsDropped);
            event.detail = Some(format!("{} events were dropped", dropped - self.told_dropped));
            self.told_dropped = dropped;
            self.write(&event);
        }
        if let Err(error) = self.file.flush() {
            log::error!("flushing the event file: {error}");
        }
    }
}
