use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{ClusterSize, Fault, LinkFault, TargetFault};

/// Interval between the starts of two faults, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..3500;
/// Time after its restart for which a control instance that lost its disk still counts as lost.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start, counted from the start of the traffic.
    pub at: Duration,
    /// Duration, for faults that are not instantaneous.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The faults of a run, drawn from a seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Faults in the order of their times.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Draws the faults that start within `length`. They may overlap. Disks are lost one at a time, and not
    /// while another control instance is down: the settings of a run tolerate no more.
    pub fn draw(seed: u64, cluster_size: ClusterSize, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        let mut control_down_until = Duration::ZERO;
        while at < length {
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            let mut fault = draw_fault(&mut rng, cluster_size);
            if at < control_down_until && disrupts_control(fault) {
                fault = Fault::Change;
            }
            if disrupts_control(fault) {
                let is_wiped = matches!(fault, Fault::WipeControl(_));
                let recovered_at = at
                    + duration
                    + if is_wiped {
                        RECOVERY_TIME
                    } else {
                        RECOVERY_TIME / 2
                    };
                control_down_until = control_down_until.max(recovered_at);
            }
            faults.push(PlannedFault { at, duration, fault });
            at += Duration::from_millis(rng.random_range(INTERVAL_MS));
        }
        Self { faults }
    }
}

/// Returns whether the fault makes a control instance unavailable. No disk may be lost at that time.
const fn disrupts_control(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::WipeControl(_)
            | Fault::TearControl(_)
            | Fault::KillControl(_)
            | Fault::PauseControl(_)
            | Fault::TermControl(_)
            | Fault::ControlLink(_, _)
    )
}

fn draw_fault<Random>(rng: &mut Random, cluster_size: ClusterSize) -> Fault
where
    Random: Rng,
{
    let control = rng.random_range(0..cluster_size.controls);
    let entry = rng.random_range(0..cluster_size.entries);
    let target = rng.random_range(0..cluster_size.targets);
    match rng.random_range(0..24) {
        0 => Fault::KillControl(control),
        1 => Fault::WipeControl(control),
        2 => Fault::TearControl(control),
        3 => Fault::PauseControl(control),
        4 => Fault::TermControl(control),
        5 | 6 => Fault::KillEntry(entry),
        7 | 8 => Fault::PauseEntry(entry),
        9 | 10 => Fault::TermEntry(entry),
        11 => Fault::Reload,
        12 => Fault::ControlLink(control, draw_link_fault(rng)),
        13..=15 => Fault::EntryLink(entry, draw_link_fault(rng)),
        16..=20 => Fault::Target(target, draw_target_fault(rng)),
        21 => Fault::Race,
        22 => Fault::BadChange,
        _ if rng.random_bool(0.5) => Fault::GiveUp,
        _ => Fault::Change,
    }
}

fn draw_link_fault<Random>(rng: &mut Random) -> LinkFault
where
    Random: Rng,
{
    match rng.random_range(0..5) {
        0 => LinkFault::Delay(Duration::from_millis(rng.random_range(5..700))),
        1 => LinkFault::Reset,
        2 => LinkFault::CutInward,
        3 => LinkFault::CutOutward,
        _ => LinkFault::Silence,
    }
}

fn draw_target_fault<Random>(rng: &mut Random) -> TargetFault
where
    Random: Rng,
{
    match rng.random_range(0..7) {
        0 => TargetFault::Restart,
        1 => TargetFault::Dark,
        2 => TargetFault::Hang,
        3 => TargetFault::Fail,
        4 => TargetFault::LateOrders,
        5 => TargetFault::LostAnswers,
        _ => TargetFault::Leave,
    }
}
