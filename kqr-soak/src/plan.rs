use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{ClusterSize, Fault, LinkFault, PlanOptions, TargetFault};

/// Interval between the starts of two faults, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..3500;
/// Time after its restart for which a control instance that lost its disk still counts as lost.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time between the loss of a control instance and the start of its successor, and, if the replacement is
/// planned, between the start of the successor and the shutdown.
pub const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Time after the start of its successor for which a replaced control instance still counts as lost, with the
/// time that a process takes to start on a busy machine.
const CATCH_UP_TIME: Duration = Duration::from_millis(4000 + 500);
/// Stream of the seed that draws the faults of control instances in plans that replace them.
const REPLACEMENT_STREAM: u64 = 1;
/// Probability that such a fault is a replacement.
const REPLACEMENT_PROBABILITY: f64 = 0.75;

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
    /// Draws the faults that start within the length of the run. They may overlap. Disks are lost one at a time,
    /// and not while another control instance is down: the settings of a run tolerate no more.
    ///
    /// If control instances are replaced, the next fault of a control instance starts as soon as none counts as
    /// lost, and most of these faults are replacements.
    pub fn draw(seed: u64, options: PlanOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut control_rng = rng.clone();
        control_rng.set_stream(REPLACEMENT_STREAM);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        let mut control_down_until = Duration::ZERO;
        while at < options.length {
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            let mut fault = draw_fault(&mut rng, options.cluster_size);
            if options.replaces_controls && at >= control_down_until {
                fault = draw_control_fault(&mut control_rng, options.cluster_size.controls);
            }
            if at < control_down_until && disrupts_control(fault) {
                fault = Fault::Change;
            }
            if disrupts_control(fault) {
                control_down_until = control_down_until.max(at + down_time(fault, duration));
            }
            faults.push(PlannedFault { at, duration, fault });
            let next = at + Duration::from_millis(rng.random_range(INTERVAL_MS));
            let becomes_free = at < control_down_until && control_down_until < next;
            at = if options.replaces_controls && becomes_free {
                control_down_until
            } else {
                next
            };
        }
        Self { faults }
    }
}

/// Returns the time from the start of a fault that disrupts control until the next one may start.
fn down_time(fault: Fault, duration: Duration) -> Duration {
    match fault {
        Fault::ReplaceControl(_) => SUCCESSOR_DELAY + CATCH_UP_TIME,
        Fault::ReplaceControlPlanned(_) => CATCH_UP_TIME,
        Fault::WipeControl(_) => duration + RECOVERY_TIME,
        _ => duration + RECOVERY_TIME / 2,
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
            | Fault::ReplaceControl(_)
            | Fault::ReplaceControlPlanned(_)
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

/// Draws a fault of one of the control instances, which mostly is a replacement.
fn draw_control_fault<Random>(rng: &mut Random, controls: usize) -> Fault
where
    Random: Rng,
{
    let control = rng.random_range(0..controls);
    if rng.random_bool(REPLACEMENT_PROBABILITY) {
        return if rng.random_bool(0.5) {
            Fault::ReplaceControl(control)
        } else {
            Fault::ReplaceControlPlanned(control)
        };
    }
    match rng.random_range(0..6) {
        0 => Fault::KillControl(control),
        1 => Fault::WipeControl(control),
        2 => Fault::TearControl(control),
        3 => Fault::PauseControl(control),
        4 => Fault::TermControl(control),
        _ => Fault::ControlLink(control, draw_link_fault(rng)),
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
