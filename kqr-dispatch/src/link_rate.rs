/// Rate in Mbit/s from which on a link counts as unlimited: the processor of an entry is exhausted before it.
const UNLIMITED_MBIT: f64 = 500.0;
/// Bytes a millisecond that one Mbit/s carries.
const BYTES_PER_MS_AND_MBIT: f64 = 125.0;
/// Part of the rate that carries the estimated bytes. Headers of TCP and IP and acknowledgements take the rest.
const PAYLOAD_FRACTION: f64 = 0.85;

/// Rate of the link of an entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRate {
    bytes_per_ms: f64,
}

impl LinkRate {
    /// Returns the rate, or `None` if the link counts as unlimited or the value is no rate.
    pub fn from_mbit(mbit: f64) -> Option<Self> {
        let is_limit = mbit > 0.0 && mbit < UNLIMITED_MBIT;
        is_limit.then_some(Self {
            bytes_per_ms: mbit * BYTES_PER_MS_AND_MBIT * PAYLOAD_FRACTION,
        })
    }

    /// Returns the bytes of messages that the link carries in a millisecond.
    pub const fn bytes_per_ms(self) -> f64 {
        self.bytes_per_ms
    }
}
