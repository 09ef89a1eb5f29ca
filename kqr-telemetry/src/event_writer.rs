use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender},
    },
    time::Duration,
};

use crate::{Event, EventKind, event_log::EventFactory, rotating_file::RotatingFile};

/// Idle time after which the buffer is flushed.
const IDLE_FLUSH_DELAY: Duration = Duration::from_millis(200);
/// Number of written events at which the buffer is flushed.
const FLUSH_EVENTS: u32 = 1024;

/// A message to the writer thread.
#[derive(Debug)]
pub enum Message {
    /// Requests to write an event.
    Write(Event),
    /// Requests to flush the file, and to confirm it through the channel.
    Flush(SyncSender<()>),
}

/// The writer thread of an event log.
#[derive(Debug)]
pub struct EventWriter {
    file: RotatingFile,
    factory: Arc<EventFactory>,
    dropped: Arc<AtomicU64>,
    reported_dropped: u64,
    unflushed: u32,
}

impl EventWriter {
    /// Creates a writer of `file` that counts the events it can't write in `dropped`.
    pub const fn new(file: RotatingFile, factory: Arc<EventFactory>, dropped: Arc<AtomicU64>) -> Self {
        Self {
            file,
            factory,
            dropped,
            reported_dropped: 0,
            unflushed: 0,
        }
    }

    /// Processes messages until the sender is dropped.
    pub fn run(mut self, rx: &Receiver<Message>) {
        loop {
            match rx.recv_timeout(IDLE_FLUSH_DELAY) {
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
            log::error!("failed to write an event: {error}");
        }
        self.unflushed += 1;
        if self.unflushed >= FLUSH_EVENTS {
            self.flush();
        }
    }

    /// Records the number of newly dropped events, if any, and flushes the file.
    fn flush(&mut self) {
        self.unflushed = 0;
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > self.reported_dropped {
            let mut event = self.factory.new_event(EventKind::EventsDropped);
            event.detail = Some(format!("{} events were dropped", dropped - self.reported_dropped));
            self.reported_dropped = dropped;
            self.write(&event);
        }
        if let Err(error) = self.file.flush() {
            log::error!("failed to flush the event file: {error}");
        }
    }
}
