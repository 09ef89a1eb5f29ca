//! Measures the time and memory of the settings log at the size that it is designed for: 500 teams, 6,000
//! targets, 15 data centres and 16,000 changes.

use std::time::Instant;

use kqr_settings::{Action, Answer, Command, Edit, LogOptions, SettingsLog, Version, validate};

const TEAM_COUNT: usize = 500;
const TARGET_COUNT: usize = 6000;
const DATA_CENTRE_COUNT: usize = 15;
const CHANGE_COUNT: usize = 16_000;

fn edit(path: &str, value: &str) -> Result<Edit, kqr_types::ParseError> {
    Ok(Edit {
        path: path.parse()?,
        value: Some(value.to_owned()),
    })
}

fn command(number: u64, edits: Vec<Edit>) -> Result<Command, kqr_types::ParseError> {
    Ok(Command {
        change: format!("change-{number}").parse()?,
        base: Version(number),
        operator: "signe".parse()?,
        unix_ms: 0,
        is_exclusive: false,
        action: Action::Edit(edits),
    })
}

fn target_path(number: usize) -> String {
    let data_centre = number % DATA_CENTRE_COUNT;
    let region = data_centre % 4;
    format!(
        "regions/region-{region}/data_centres/dc-{data_centre}/services/pressverk/targets/worker-{number}"
    )
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut log = SettingsLog::new(LogOptions::default());
    let mut edits = Vec::new();
    for team in 0..TEAM_COUNT {
        edits.push(edit(&format!("teams/team-{team}/quota"), "100/s")?);
        edits.push(edit(&format!("teams/team-{team}/burst"), "200")?);
    }
    for target in 0..TARGET_COUNT {
        edits.push(edit(&format!("{}/limits/slots", target_path(target)), "8")?);
        edits.push(edit(
            &format!("{}/limits/connections", target_path(target)),
            "64",
        )?);
    }
    let start = Instant::now();
    log.apply(command(0, edits)?);
    println!(
        "first change of {} values: {:?}",
        log.tree().len(),
        start.elapsed()
    );
    let start = Instant::now();
    validate(log.tree())?;
    println!("validation of the whole tree: {:?}", start.elapsed());
    let start = Instant::now();
    for number in 1..=CHANGE_COUNT {
        let edit = if number % 2 == 0 {
            edit(&format!("{}/drain", target_path(number % TARGET_COUNT)), "true")?
        } else {
            edit(
                &format!("teams/team-{}/quota", number % TEAM_COUNT),
                &format!("{number}/s"),
            )?
        };
        let answer = log.apply(command(number as u64, vec![edit])?);
        if let Answer::Refused(refusal) = answer {
            return Err(refusal.to_string().into());
        }
    }
    println!(
        "mean time of one change: {:?}",
        start.elapsed() / CHANGE_COUNT as u32
    );
    let start = Instant::now();
    let snapshot = log.snapshot()?;
    println!(
        "snapshot of the log: {} bytes in {:?}",
        snapshot.len(),
        start.elapsed()
    );
    let start = Instant::now();
    let update = log.update_since(Some(Version(log.version().0 - 500)));
    println!(
        "update over 500 changes: {} bytes as JSON in {:?}",
        serde_json::to_vec(&update)?.len(),
        start.elapsed()
    );
    let status = std::fs::read_to_string("/proc/self/status")?;
    for line in status
        .lines()
        .filter(|line| line.starts_with("VmHWM") || line.starts_with("VmRSS"))
    {
        println!("{line}");
    }
    Ok(())
}
