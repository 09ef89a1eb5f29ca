//! The operators' command line: settings, targets, drains and the state of the control instances.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let cli = kqr::Cli::parse();
    let format = cli.connection.output;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(kqr::run(cli)),
        Err(error) => Err(kqr::Failure::local("starting", error.to_string())),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{}", failure.render(format));
            ExitCode::from(failure.exit_code())
        }
    }
}
