use std::io::Write;

use eyre::WrapErr;
use kqr_telemetry::Event;

use crate::{Findings, concerns::concerns};

/// Writes events as a table: milliseconds since the first one, process, kind, and what it concerns.
#[derive(Debug)]
pub struct Table<'out, Out> {
    out: &'out mut Out,
    first: Option<u64>,
    /// Width of the processes' names.
    width: usize,
}

impl<'out, Out> Table<'out, Out>
where
    Out: Write,
{
    /// Creates a table whose names are `width` wide, or wider where one is longer.
    pub const fn new(out: &'out mut Out, width: usize) -> Self {
        Self {
            out,
            first: None,
            width,
        }
    }

    /// Writes one line.
    ///
    /// # Errors
    ///
    /// Fails if the line can't be written.
    pub fn write(&mut self, event: &Event) -> eyre::Result<()> {
        let placed = event.timeline_us();
        let first = *self.first.get_or_insert(placed);
        let millis = (placed as f64 - first as f64) / 1000.0;
        self.width = self.width.max(event.instance.as_str().len());
        let line = format!(
            "{millis:>12.3}  {:<width$}  {:<18}  {}",
            event.instance.as_str(),
            event.kind,
            concerns(event),
            width = self.width
        );
        writeln!(self.out, "{}", line.trim_end()).wrap_err("writing the time line")
    }

    /// Ends the table with what is missing or malformed.
    ///
    /// # Errors
    ///
    /// Fails if a line can't be written.
    pub fn close(self, findings: &Findings) -> eyre::Result<()> {
        for warning in findings.warnings() {
            writeln!(self.out, "# {warning}").wrap_err("writing the time line")?;
        }
        Ok(())
    }
}
