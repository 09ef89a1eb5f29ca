use std::{
    io::Write,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::WrapErr;

/// Maximum number of lines queued for the writer; further ones are dropped and counted. At 300 bytes per line this
/// is 1.2 MB.
const MAX_QUEUED_LINES: usize = 4096;
/// Maximum number of lines accepted per second; further ones are dropped and counted. An entry at its capacity writes
/// about half as many.
const MAX_LINES_PER_SECOND: u64 = 2000;
/// Pause between writes, so that one write carries many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Size in bytes at which a batch of lines is written.
const BATCH_BYTES: usize = 64 * 1024;

/// Queue of lines for an output that may be slow or blocked. Lines are dropped rather than block the sender.
#[derive(Debug)]
pub struct BoundedOutput {
    tx: SyncSender<String>,
    dropped: AtomicU64,
    /// Start of the current rate window, in seconds since the Unix epoch.
    window_start_s: AtomicU64,
    /// Number of lines pushed within the current window.
    lines_in_window: AtomicU64,
}

static OUTPUT: OnceLock<&'static BoundedOutput> = OnceLock::new();

impl BoundedOutput {
    /// Starts a thread that writes queued lines to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start<Output>(output: Output) -> eyre::Result<&'static Self>
    where
        Output: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let this: &'static Self = Box::leak(Box::new(Self {
            tx,
            dropped: AtomicU64::new(0),
            window_start_s: AtomicU64::new(0),
            lines_in_window: AtomicU64::new(0),
        }));
        let writer = std::thread::Builder::new().name("log-writer".to_owned());
        let started = writer.spawn(move || this.write(&rx, output));
        started.wrap_err("starting the log writer thread")?;
        Ok(this)
    }

    /// Queues a line, or drops and counts it if the queue is full or the rate limit is exceeded.
    pub fn push(&self, line: String) {
        if !self.is_within_rate() || self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn is_within_rate(&self) -> bool {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if self.window_start_s.swap(unix.as_secs(), Ordering::Relaxed) != unix.as_secs() {
            self.lines_in_window.store(0, Ordering::Relaxed);
        }
        self.lines_in_window.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }

    fn write<Output>(&self, rx: &Receiver<String>, mut output: Output)
    where
        Output: Write,
    {
        let mut reported = 0;
        while let Ok(first) = rx.recv() {
            let mut text = first;
            text.push('\n');
            while text.len() < BATCH_BYTES {
                let Ok(line) = rx.try_recv() else { break };
                text.push_str(&line);
                text.push('\n');
            }
            let dropped = self.dropped();
            if dropped > reported {
                let count = dropped - reported;
                text.push_str(r#"{"event":"log-lines-dropped","count":"#);
                text.push_str(&count.to_string());
                text.push_str("}\n");
                reported = dropped;
            }
            // An error can't be reported: this is the output for log lines.
            drop(output.write_all(text.as_bytes()).and_then(|()| output.flush()));
            std::thread::sleep(WRITE_INTERVAL);
        }
    }
}

/// Sets the output that [`push_line`] writes to.
pub(crate) fn set_output(output: &'static BoundedOutput) {
    // Can't be set twice: installing a second logger fails before this call.
    let _ = OUTPUT.set(output);
}

/// Queues a line for the bounded output of this process, if it has one.
pub(crate) fn push_line(line: String) {
    if let Some(output) = OUTPUT.get() {
        output.push(line);
    }
}

/// Returns the number of log lines that this process has dropped.
pub fn dropped_log_lines() -> u64 {
    OUTPUT.get().map_or(0, |output| output.dropped())
}
