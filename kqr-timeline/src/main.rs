//! Merges the events of all processes into one time line.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::{
    fs::File,
    io::{self, BufWriter, ErrorKind, Write},
};

use clap::Parser;
use eyre::WrapErr;
use kqr_timeline::Options;

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    if let Some(path) = &options.output {
        let file = File::create(path).wrap_err_with(|| format!("creating {}", path.display()))?;
        return write(&options, BufWriter::new(file));
    }
    match write(&options, BufWriter::new(io::stdout().lock())) {
        Err(error) if is_broken_pipe(&error) => Ok(()),
        result => result,
    }
}

fn write<Out>(options: &Options, mut out: Out) -> eyre::Result<()>
where
    Out: Write,
{
    kqr_timeline::run(options, &mut out)?;
    out.flush().wrap_err("writing the time line")
}

fn is_broken_pipe(error: &eyre::Report) -> bool {
    let cause = error.downcast_ref::<io::Error>();
    cause.is_some_and(|cause| cause.kind() == ErrorKind::BrokenPipe)
}
