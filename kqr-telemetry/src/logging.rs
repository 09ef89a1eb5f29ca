use std::time::SystemTime;

use eyre::WrapErr;
use kqr_types::InstanceId;
use serde::Serialize;

use crate::{BoundedOutput, bounded_output::set_output, decision::set_instance};

#[derive(Serialize)]
struct LogLine<'a> {
    unix_ms: u128,
    level: &'a str,
    instance: &'a str,
    target: &'a str,
    message: String,
}

/// Writes log records as JSON lines to standard error.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn init_logging(instance: &InstanceId, level: log::LevelFilter) -> eyre::Result<()> {
    json_lines(instance, level)
        .chain(std::io::stderr())
        .apply()
        .wrap_err("installing the logger")
}

/// Writes log records and decisions as JSON lines to standard output, through a bounded queue that drops lines rather
/// than block.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread can't be started.
pub fn init_bounded_logging(instance: &InstanceId, level: log::LevelFilter) -> eyre::Result<()> {
    let output = BoundedOutput::start(std::io::stdout())?;
    let sink = fern::Output::call(move |record| output.push(record.args().to_string()));
    json_lines(instance, level)
        .chain(sink)
        .apply()
        .wrap_err("installing the logger")?;
    set_output(output);
    set_instance(instance);
    Ok(())
}

fn json_lines(instance: &InstanceId, level: log::LevelFilter) -> fern::Dispatch {
    let instance = instance.clone();
    fern::Dispatch::new()
        .level(level)
        .level_for("tarpc", log::LevelFilter::Error)
        .format(move |out, message, record| {
            let unix = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            let line = LogLine {
                unix_ms: unix.as_millis(),
                level: record.level().as_str(),
                instance: instance.as_str(),
                target: record.target(),
                message: message.to_string(),
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{text}"));
        })
}
