//! A blocked log output does not block senders, and dropped lines are counted.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use kqr_telemetry::BoundedOutput;

/// An output whose writes block until it is released.
struct BlockedOutput {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Fails once the test has dropped the sender, so that later writes don't block.
        let _ = self.release.recv();
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn full_output_drops_lines_and_reports_their_number() {
    const LINES: u64 = 10_000;
    let (release, receiver) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let blocked = BlockedOutput {
        release: receiver,
        written: Arc::clone(&written),
    };
    let output = BoundedOutput::start(blocked).unwrap();
    for number in 0..LINES {
        output.push(format!("line {number}"));
    }
    let dropped = output.dropped();
    assert!(dropped > 0 && dropped < LINES, "{dropped}");
    drop(release);
    let started = Instant::now();
    loop {
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        if text.contains("log-lines-dropped") {
            assert!(text.starts_with("line 0\n"));
            return;
        }
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "dropped lines were not reported"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
