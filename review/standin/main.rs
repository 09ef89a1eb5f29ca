//! Stand-ins for runners, clients, the operator and the platform, and the cases that use them.
//!
//! `standin CASE FOLDER` plays a case, writes `record.txt` into the folder, and exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With `TROUBLE=0` it plays the same without the disruption.

mod cases;
mod clients;
mod cluster;
mod http;
mod json;
mod record;
mod runner;

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use record::Record;

/// Result of a case that could run.
pub struct Verdict {
    pub broken: Vec<String>,
    /// What was seen in all, in one line.
    pub summary: String,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    match cases::play(case, has_trouble, &record) {
        Err(error) => {
            record.tell(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
        Ok(verdict) => {
            record.tell(&verdict.summary);
            for line in verdict.broken.iter().take(5) {
                record.tell(&format!("BROKEN: {line}"));
            }
            record.tell(&format!("{} breaks of the rule", verdict.broken.len()));
            ExitCode::from(u8::from(!verdict.broken.is_empty()))
        }
    }
}
