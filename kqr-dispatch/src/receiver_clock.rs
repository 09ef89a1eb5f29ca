use kqr_types::Instant;

use crate::ReceiverTime;

/// Largest rate error between the clocks of two entries, in thousandths.
const MAX_DRIFT_PER_MILLE: u32 = 20;

/// Lower bound of a receiver's clock, known to the sender from the readings in the receiver's answers.
///
/// A message that carries the bound tells the receiver when it was sent at the earliest, however long it was on its way or
/// waited to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiverClock {
    /// A reading, and when its answer was read.
    latest: Option<(ReceiverTime, Instant)>,
}

impl ReceiverClock {
    /// Records a reading whose answer is read at `now`. One that took long on its way does not lower the bound.
    pub fn record(&mut self, now: Instant, reading: ReceiverTime) {
        if reading >= self.at(now) {
            self.latest = Some((reading, now));
        }
    }

    /// Returns the time that the receiver's clock has certainly reached at `now`, or the earliest one without a reading.
    pub fn at(&self, now: Instant) -> ReceiverTime {
        let Some((reading, read_at)) = self.latest else {
            return ReceiverTime::default();
        };
        let passed = now.since(read_at);
        reading + passed * (1000 - MAX_DRIFT_PER_MILLE) / 1000
    }
}
