//! Open-loop load and experiment tool.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;
mod options;
mod report;
mod run;

use clap::Parser;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options = options::Options::parse();
    let report = run::run(&options).await?;
    print!("{}", report.to_text());
    if report.is_broken() {
        eyre::bail!("a promise was broken");
    }
    Ok(())
}
