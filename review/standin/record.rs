//! The record of what was sent, answered and run, with the time since the script began.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line, and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let mut file = self.file.lock().unwrap();
        let at = self.now_ms();
        let _ = writeln!(file, "{:>9.3} s  {text}", at as f64 / 1000.0);
        let _ = file.flush();
        at
    }

    /// Writes a line to the record and to the terminal.
    pub fn tell(&self, text: &str) -> u64 {
        println!("{text}");
        self.line(text)
    }
}
