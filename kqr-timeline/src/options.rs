use std::{
    io::{BufRead, Write},
    path::PathBuf,
};

use clap::{Parser, ValueEnum};
use eyre::WrapErr;

use crate::{Filter, MAX_DRAWN_EVENTS, Merge, Source, Summary, Table, Timeline, select, to_html};

/// Form of the time line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line for each event.
    Table,
    /// A self-contained page with a lane for each process.
    Html,
    /// The events as JSON lines, in causal order.
    Json,
}

/// Merges the events of all processes into one time line.
#[derive(Clone, Debug, Parser)]
#[command(name = "kqr-timeline", version)]
pub struct Options {
    /// Event files of the processes, rotated ones included.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
    /// Which events are shown.
    #[command(flatten)]
    pub filter: Filter,
    /// Form of the time line.
    #[arg(long, value_enum, default_value = "table")]
    pub format: Format,
    /// File to write to instead of standard output.
    #[arg(long)]
    pub output: Option<PathBuf>,
}

/// Reads, merges, filters and writes the events to `out`.
///
/// # Errors
///
/// Fails if a file can't be read, or `out` can't be written.
pub fn run<Out>(options: &Options, out: &mut Out) -> eyre::Result<Summary>
where
    Out: Write,
{
    let mut sources = Vec::with_capacity(options.files.len());
    for file in &options.files {
        sources.push(Source::open(file)?);
    }
    let merge = Merge::new(sources)?;
    match options.format {
        Format::Table => write_table(merge, &options.filter, out),
        Format::Html => write_html(merge, &options.filter, out),
        Format::Json => write_json(merge, &options.filter, out),
    }
}

fn write_table<Input, Out>(merge: Merge<Input>, filter: &Filter, out: &mut Out) -> eyre::Result<Summary>
where
    Input: BufRead,
    Out: Write,
{
    let mut table = Table::new(out, merge.name_width());
    let (summary, findings) = select(merge, filter, |event| table.write(event))?;
    table.close(&findings)?;
    Ok(summary)
}

fn write_html<Input, Out>(merge: Merge<Input>, filter: &Filter, out: &mut Out) -> eyre::Result<Summary>
where
    Input: BufRead,
    Out: Write,
{
    let timeline = Timeline::collect(merge, filter, MAX_DRAWN_EVENTS)?;
    out.write_all(to_html(&timeline).as_bytes())
        .wrap_err("writing the time line")?;
    Ok(timeline.summary)
}

fn write_json<Input, Out>(merge: Merge<Input>, filter: &Filter, out: &mut Out) -> eyre::Result<Summary>
where
    Input: BufRead,
    Out: Write,
{
    let (summary, _) = select(merge, filter, |event| {
        let mut line = serde_json::to_vec(event).wrap_err("encoding an event")?;
        line.push(b'\n');
        out.write_all(&line).wrap_err("writing the time line")
    })?;
    Ok(summary)
}
