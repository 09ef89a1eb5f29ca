use std::time::SystemTime;

use eyre::WrapErr;
use kqr_types::InstanceId;
use serde::Serialize;

#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u128,
    level: &'a str,
    instance: &'a str,
    target: &'a str,
    message: String,
}

/// Sends log records as JSON lines to standard error.
///
/// # Errors
///
/// Fails if a logger was set before.
pub fn init_logging(instance: &InstanceId, level: log::LevelFilter) -> eyre::Result<()> {
    let instance = instance.clone();
    fern::Dispatch::new()
        .level(level)
        .level_for("tarpc", log::LevelFilter::Error)
        .format(move |out, message, record| {
            let unix = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            let line = Line {
                unix_ms: unix.as_millis(),
                level: record.level().as_str(),
                instance: instance.as_str(),
                target: record.target(),
                message: message.to_string(),
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{text}"));
        })
        .chain(std::io::stderr())
        .apply()
        .wrap_err("setting the logger")
}
