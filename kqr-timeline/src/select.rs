use std::io::BufRead;

use kqr_telemetry::Event;

use crate::{Filter, Findings, Merge};

/// What was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of events.
    pub read: u64,
    /// Number of events that match.
    pub matched: u64,
    /// Most events that were held at a time.
    pub peak_held: usize,
}

/// Reads all events and gives `each` those that match `filter`, in causal order.
///
/// # Errors
///
/// Fails if a file can't be read, or with the error of `each`.
pub fn select<Input, Each>(
    mut merge: Merge<Input>,
    filter: &Filter,
    mut each: Each,
) -> eyre::Result<(Summary, Findings)>
where
    Input: BufRead,
    Each: FnMut(&Event) -> eyre::Result<()>,
{
    let mut summary = Summary::default();
    loop {
        summary.peak_held = summary.peak_held.max(merge.held());
        let Some(event) = merge.next_event()? else { break };
        summary.read += 1;
        if !filter.matches(event) {
            continue;
        }
        summary.matched += 1;
        each(event)?;
    }
    Ok((summary, merge.close()))
}
