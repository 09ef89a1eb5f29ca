use std::path::PathBuf;

use clap::{Parser, ValueEnum};

use crate::{Filter, Source, Timeline, to_html, to_table};

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

/// Reads, merges, filters and formats the events.
///
/// # Errors
///
/// Fails if a file can't be read.
pub fn run(options: &Options) -> eyre::Result<String> {
    let mut sources = Vec::with_capacity(options.files.len());
    for file in &options.files {
        sources.push(Source::read(file)?);
    }
    let mut timeline = Timeline::merge(sources);
    timeline.retain(&options.filter);
    Ok(match options.format {
        Format::Table => to_table(&timeline),
        Format::Html => to_html(&timeline),
        Format::Json => to_json(&timeline),
    })
}

fn to_json(timeline: &Timeline) -> String {
    let mut text = String::new();
    for event in &timeline.events {
        text.push_str(&serde_json::to_string(event).unwrap_or_default());
        text.push('\n');
    }
    text
}
