//! Measures the cost of a directory by number of targets: bytes and processor time per beat, and memory.
//!
//! Prints one line for each number of targets: the bytes of a beat, the microseconds to build and to handle
//! one, and the resident memory per target in bytes.

use std::{fs, time::Instant as Clock};

use bincode::Options;
use kqr_directory::{Directory, Input, Output};
use kqr_placement::{Announcement, TargetKind};
use kqr_types::{ByteSize, Incarnation, InstanceId, Instant, Slots};

/// Numbers of targets to measure.
const TARGET_COUNTS: [usize; 6] = [50, 100, 200, 400, 800, 1600];
/// Number of directories over which the growth of the resident memory is averaged.
const DIRECTORY_COUNT: usize = 50;
/// Number of beats over which the times are averaged.
const BEAT_COUNT: u64 = 200;

fn target(number: usize) -> eyre::Result<Announcement> {
    Ok(Announcement {
        id: format!("worker-uppsala-{number:04}").parse()?,
        incarnation: Incarnation(1),
        kind: TargetKind::Worker,
        service: "pressverk".parse()?,
        address: format!("10.0.{}.{}:7500", number / 250, number % 250 + 1).parse()?,
        slots: Slots(8),
        connections: 64,
        rack: format!("rack-{:02}", number / 8).parse()?,
        cores: 16,
        memory: ByteSize(64 << 30),
        accelerators: 1,
    })
}

fn filled_directory(own: &str, peer: &InstanceId, targets: usize) -> eyre::Result<Directory> {
    let mut directory = Directory::new(own.parse()?, Instant(0));
    directory.handle(Instant(0), Input::Peers([peer.clone()].into()), &mut Vec::new());
    for number in 0..targets {
        directory.handle(Instant(0), Input::Announced(target(number)?), &mut Vec::new());
    }
    Ok(directory)
}

fn resident_kib() -> eyre::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.unwrap_or("0").parse()?)
}

fn main() -> eyre::Result<()> {
    let (sender_id, receiver_id): (InstanceId, InstanceId) = ("entry-1".parse()?, "entry-2".parse()?);
    println!("targets  beat_bytes  build_us  take_in_us  bytes_per_target");
    // No directory is dropped before the end, so that no measurement reuses the memory of an earlier one.
    let mut directories = Vec::new();
    for targets in TARGET_COUNTS {
        let before = resident_kib()?;
        for _ in 0..DIRECTORY_COUNT {
            directories.push(filled_directory("entry-1", &receiver_id, targets)?);
        }
        let growth = resident_kib()?.saturating_sub(before) * 1024;
        let mut sender = filled_directory("entry-1", &receiver_id, targets)?;
        let mut receiver = filled_directory("entry-2", &sender_id, targets)?;
        let (mut bytes, mut build, mut receive) = (0, 0, 0);
        for turn in 1..=BEAT_COUNT {
            let now = Instant(1_000_000 * turn);
            for number in 0..targets {
                sender.handle(now, Input::Announced(target(number)?), &mut Vec::new());
            }
            let mut outputs = Vec::new();
            let started = Clock::now();
            sender.handle(now, Input::Tick, &mut outputs);
            build += started.elapsed().as_nanos();
            for output in outputs {
                let Output::Send { message, .. } = output else {
                    continue;
                };
                bytes = bincode::DefaultOptions::new().serialized_size(&message)?;
                let input = Input::Peer {
                    from: sender_id.clone(),
                    message,
                };
                let started = Clock::now();
                receiver.handle(now, input, &mut Vec::new());
                receive += started.elapsed().as_nanos();
            }
        }
        let micros = |nanos: u128| nanos as f64 / 1000.0 / BEAT_COUNT as f64;
        let bytes_per_target = growth / (DIRECTORY_COUNT * targets) as u64;
        println!(
            "{targets:>7}  {bytes:>10}  {:>8.1}  {:>10.1}  {bytes_per_target:>16}",
            micros(build),
            micros(receive)
        );
    }
    Ok(())
}
