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

/// Lines that may wait for the writer; further ones are dropped and counted. At 300 bytes a line this is 1.2 MB.
const QUEUED_LINES: usize = 4096;
/// Lines a second that are taken; further ones are dropped and counted. An entry at its capacity writes about half.
const LINES_PER_SECOND: u64 = 2000;
/// Time between two writes, so that many lines share one.
const WRITE_PERIOD: Duration = Duration::from_millis(50);
/// Bytes that are written at once.
const WRITE_BYTES: usize = 64 * 1024;

/// Lines for an output that may be slow or stand still. Nobody waits for it.
#[derive(Debug)]
pub struct BoundedOutput {
    tx: SyncSender<String>,
    dropped: AtomicU64,
    /// The present second, and the lines of it.
    second: AtomicU64,
    taken: AtomicU64,
}

static OUTPUT: OnceLock<&'static BoundedOutput> = OnceLock::new();

impl BoundedOutput {
    /// Starts a thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start<Output>(output: Output) -> eyre::Result<&'static Self>
    where
        Output: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(QUEUED_LINES);
        let this: &'static Self = Box::leak(Box::new(Self {
            tx,
            dropped: AtomicU64::new(0),
            second: AtomicU64::new(0),
            taken: AtomicU64::new(0),
        }));
        let writer = std::thread::Builder::new().name("log-writer".to_owned());
        let started = writer.spawn(move || this.write(&rx, output));
        started.wrap_err("starting the thread that writes the log")?;
        Ok(this)
    }

    /// Takes a line, or drops and counts it.
    pub fn push(&self, line: String) {
        if !self.is_within_rate() || self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many lines were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn is_within_rate(&self) -> bool {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if self.second.swap(unix.as_secs(), Ordering::Relaxed) != unix.as_secs() {
            self.taken.store(0, Ordering::Relaxed);
        }
        self.taken.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND
    }

    fn write<Output>(&self, rx: &Receiver<String>, mut output: Output)
    where
        Output: Write,
    {
        let mut told = 0;
        while let Ok(first) = rx.recv() {
            let mut text = first;
            text.push('\n');
            while text.len() < WRITE_BYTES {
                let Ok(line) = rx.try_recv() else { break };
                text.push_str(&line);
                text.push('\n');
            }
            let dropped = self.dropped();
            if dropped > told {
                let count = dropped - told;
                text.push_str(r#"{"event":"log-lines-dropped","count":"#);
                text.push_str(&count.to_string());
                text.push_str("}\n");
                told = dropped;
            }
            // An output that is gone leaves nobody to tell.
            drop(output.write_all(text.as_bytes()).and_then(|()| output.flush()));
            std::thread::sleep(WRITE_PERIOD);
        }
    }
}

/// Makes `output` the one that [`push_line`] writes to.
pub(crate) fn set_output(output: &'static BoundedOutput) {
    // A second output is refused by the logger that is set together with it.
    let _ = OUTPUT.set(output);
}

/// Writes a line to the output of this process, if it has one.
pub(crate) fn push_line(line: String) {
    if let Some(output) = OUTPUT.get() {
        output.push(line);
    }
}

/// Returns how many lines of this process were dropped.
pub fn dropped_log_lines() -> u64 {
    OUTPUT.get().map_or(0, |output| output.dropped())
}
