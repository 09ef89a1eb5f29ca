use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use kqr_types::Instant;

use crate::BootClock;

/// Duration of a write after which the driver counts as blocked. A slow disk completes a sync within it, and a
/// leader that is blocked for longer loses its leadership.
const MAX_WRITE_DURATION: Duration = Duration::from_millis(400);
/// Interval between checks of a call that waits for its reply.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Value while the driver is not writing.
const NOT_WRITING: u64 = 0;
/// Value while the data folder is closed.
const CLOSED: u64 = 1;

/// Whether the thread of the replicated log can take calls, and whether it has a leader. It can't take calls while the disk does
/// not complete a write, and while the data folder is closed after a failed one.
#[derive(Debug, Default)]
pub(super) struct DriverState {
    /// Start of the current write in microseconds of the [`BootClock`], [`NOT_WRITING`] or [`CLOSED`].
    write_started: AtomicU64,
    /// Whether this instance leads or hears a leader.
    has_leader: AtomicBool,
}

impl DriverState {
    /// Records that a write begins.
    pub(super) fn begin_write(&self) {
        let now = BootClock.now().0.max(CLOSED + 1);
        self.write_started.store(now, Ordering::Relaxed);
    }

    /// Records that a write is complete or that the data folder is open.
    pub(super) fn end_write(&self) {
        self.write_started.store(NOT_WRITING, Ordering::Relaxed);
    }

    /// Records that the data folder is closed until the next [`end_write`](Self::end_write).
    pub(super) fn mark_closed(&self) {
        self.write_started.store(CLOSED, Ordering::Relaxed);
    }

    /// Records whether this instance leads or hears a leader.
    pub(super) fn set_has_leader(&self, has_leader: bool) {
        self.has_leader.store(has_leader, Ordering::Relaxed);
    }

    /// Returns whether this instance leads or hears a leader.
    pub(super) fn has_leader(&self) -> bool {
        self.has_leader.load(Ordering::Relaxed)
    }

    /// Returns whether the driver can't take calls.
    pub(super) fn is_blocked(&self) -> bool {
        match self.write_started.load(Ordering::Relaxed) {
            NOT_WRITING => false,
            CLOSED => true,
            started => BootClock.now().since(Instant(started)) >= MAX_WRITE_DURATION,
        }
    }

    /// Waits until the driver can't take calls.
    pub(super) async fn wait_until_blocked(&self) {
        while !self.is_blocked() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
