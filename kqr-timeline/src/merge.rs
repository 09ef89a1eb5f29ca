use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    io::BufRead,
    mem,
};

use kqr_telemetry::{Event, EventKind};
use kqr_types::InstanceId;

use crate::{Findings, Source, numbers::Numbers, placed::Placed};

/// Merges event files into one sequence in causal order, without holding more than a window of each file.
///
/// An event that is in two files comes once. A process that started again counts its events anew.
#[derive(Debug)]
pub struct Merge<Input> {
    sources: Vec<Source<Input>>,
    heads: BinaryHeap<Reverse<(Placed, usize)>>,
    latest: Option<Placed>,
    numbers: BTreeMap<InstanceId, Numbers>,
    findings: Findings,
}

impl<Input> Merge<Input>
where
    Input: BufRead,
{
    /// Begins to read `sources`.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn new(sources: Vec<Source<Input>>) -> eyre::Result<Self> {
        let mut merge = Self {
            heads: BinaryHeap::with_capacity(sources.len()),
            sources,
            latest: None,
            numbers: BTreeMap::new(),
            findings: Findings::default(),
        };
        for index in 0..merge.sources.len() {
            merge.read(index)?;
        }
        Ok(merge)
    }

    /// Returns the next event, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn next_event(&mut self) -> eyre::Result<Option<&Event>> {
        while let Some(Reverse((placed, index))) = self.heads.pop() {
            self.read(index)?;
            if self.latest.as_ref() == Some(&placed) {
                continue;
            }
            self.note(&placed);
            return Ok(Some(&self.latest.insert(placed).0));
        }
        Ok(None)
    }

    /// Returns the length of the longest name of a process that a file begins with.
    pub fn name_width(&self) -> usize {
        let names = self
            .heads
            .iter()
            .map(|Reverse((placed, _))| placed.0.instance.as_str().len());
        names.max().unwrap_or(0)
    }

    /// Returns how many events are held.
    pub fn held(&self) -> usize {
        let windows: usize = self.sources.iter().map(Source::held).sum();
        windows + self.heads.len() + usize::from(self.latest.is_some())
    }

    /// Ends the reading and returns what is missing or malformed.
    pub fn close(mut self) -> Findings {
        for (instance, numbers) in self.numbers {
            self.findings.gaps.extend(numbers.close(&instance));
        }
        for source in self.sources {
            let (torn, untold) = source.close();
            self.findings.torn.extend(torn);
            self.findings.untold += untold;
        }
        self.findings
    }

    fn read(&mut self, index: usize) -> eyre::Result<()> {
        if let Some(placed) = self.sources[index].next_event()? {
            self.heads.push(Reverse((placed, index)));
        }
        Ok(())
    }

    fn note(&mut self, placed: &Placed) {
        let event = &placed.0;
        if !self.numbers.contains_key(&event.instance) {
            self.numbers.insert(event.instance.clone(), Numbers::default());
        }
        if let Some(numbers) = self.numbers.get_mut(&event.instance) {
            if event.kind == EventKind::ProcessStarted {
                let life = mem::take(numbers);
                self.findings.gaps.extend(life.close(&event.instance));
            }
            numbers.insert(event.sequence);
        }
        if self.latest.as_ref().is_some_and(|latest| placed < latest) {
            self.findings.misplaced += 1;
        }
    }
}
