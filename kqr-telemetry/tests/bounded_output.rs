//! A log output that stands still keeps nobody waiting, and drops are counted.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use kqr_telemetry::BoundedOutput;

/// An output that takes nothing until it is released.
struct Stuck {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is gone when the test is over.
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
fn a_full_output_drops_lines_and_tells_how_many() {
    const LINES: u64 = 10_000;
    let (release, receiver) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stuck = Stuck {
        release: receiver,
        written: Arc::clone(&written),
    };
    let output = BoundedOutput::start(stuck).unwrap();
    for number in 0..LINES {
        output.push(format!("line {number}"));
    }
    let dropped = output.dropped();
    assert!(dropped > 0 && dropped < LINES, "{dropped}");
    drop(release);
    let begun = Instant::now();
    loop {
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        if text.contains("log-lines-dropped") {
            assert!(text.starts_with("line 0\n"));
            return;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(30),
            "the drops are not told"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
