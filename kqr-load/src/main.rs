//! Open-loop load and experiment tool.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::{fs, path::Path};

use clap::Parser;
use eyre::WrapErr;
use kqr_load::{Command, Options, Report};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = Options::parse();
    if let Some(Command::Compare { before, after }) = &options.command {
        print!("{}", kqr_load::compare(&read(before)?, &read(after)?));
        return Ok(());
    }
    let report = kqr_load::run(options.to_experiment()?).await?;
    print!("{}", kqr_load::to_text(&report));
    if let Some(path) = &options.json {
        write(path, &serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &options.html {
        write(path, &kqr_load::to_page(&report)?)?;
    }
    if report.is_broken() {
        eyre::bail!("a promise was broken");
    }
    Ok(())
}

fn read(path: &Path) -> eyre::Result<Report> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("parsing {}", path.display()))
}

fn write(path: &Path, text: &str) -> eyre::Result<()> {
    fs::write(path, text).wrap_err_with(|| format!("writing {}", path.display()))
}
