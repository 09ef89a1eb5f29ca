use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
};

use eyre::WrapErr;
use kqr_telemetry::Event;

use crate::{Torn, placed::Placed};

/// Events of a file that are held to bring them in order: the threads of a process record events a little out of
/// order.
pub const WINDOW_EVENTS: usize = 1024;
/// Malformed lines of a file that are told; the others are counted.
const MOST_TORN: usize = 100;
/// Buffer of a file, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// An event file that is read from its begin to its end. Only [`WINDOW_EVENTS`] events are held at a time.
#[derive(Debug)]
pub struct Source<Input> {
    file: String,
    input: Input,
    line: Vec<u8>,
    number: usize,
    window: BinaryHeap<Reverse<Placed>>,
    is_ended: bool,
    torn: Vec<Torn>,
    untold: u64,
}

impl Source<BufReader<File>> {
    /// Opens an event file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn open(path: &Path) -> eyre::Result<Self> {
        let file = File::open(path).wrap_err_with(|| format!("opening {}", path.display()))?;
        let input = BufReader::with_capacity(BUFFER_BYTES, file);
        Ok(Self::new(&path.display().to_string(), input))
    }
}

impl<Input> Source<Input>
where
    Input: BufRead,
{
    /// Creates a source that reads the file called `file` from `input`.
    pub fn new(file: &str, input: Input) -> Self {
        Self {
            file: file.to_owned(),
            input,
            line: Vec::new(),
            number: 0,
            window: BinaryHeap::new(),
            is_ended: false,
            torn: Vec::new(),
            untold: 0,
        }
    }

    /// Returns the next event in the order of places, or `None` at the end of the file. A malformed line is noted.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    pub fn next_event(&mut self) -> eyre::Result<Option<Placed>> {
        while !self.is_ended && self.window.len() < WINDOW_EVENTS {
            self.read_line()?;
        }
        Ok(self.window.pop().map(|Reverse(placed)| placed))
    }

    /// Returns how many events are held.
    pub fn held(&self) -> usize {
        self.window.len()
    }

    /// Ends the reading; returns the lines that are not events, and how many there are beyond those.
    pub fn close(self) -> (Vec<Torn>, u64) {
        (self.torn, self.untold)
    }

    fn read_line(&mut self) -> eyre::Result<()> {
        self.line.clear();
        let read = self.input.read_until(b'\n', &mut self.line);
        let read = read.wrap_err_with(|| format!("reading {}", self.file))?;
        if read == 0 {
            self.is_ended = true;
            return Ok(());
        }
        self.number += 1;
        let is_whole = self.line.last() == Some(&b'\n');
        let line = self.line.strip_suffix(b"\n").unwrap_or(&self.line);
        if line.is_empty() {
            return Ok(());
        }
        match serde_json::from_slice::<Event>(line) {
            Ok(event) => self.window.push(Reverse(Placed(event))),
            Err(_) if self.torn.len() < MOST_TORN => {
                self.torn
                    .push(Torn::new(&self.file, self.number, !is_whole, line));
            }
            Err(_) => self.untold += 1,
        }
        Ok(())
    }
}
