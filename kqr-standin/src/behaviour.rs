use serde::{Deserialize, Serialize};

/// Faults that the stand-in can be told to show, as the body of `PUT /standin/behaviour`.
#[expect(clippy::struct_excessive_bools, reason = "each fault is switched on its own")]
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Run times are multiplied by this if it is above 0.
    pub slow_factor: f64,
    /// Each task fails at once.
    pub fails_everything: bool,
    /// Each start is refused before it runs.
    pub refuses: bool,
    /// Requests on open connections get no answer.
    pub is_silent: bool,
    /// Every n-th answer is lost: its connection is closed without an answer. 0 loses none.
    pub loses_every: u64,
    /// Answers are held back for this time, in milliseconds.
    pub late_ms: u64,
    /// The target announces that it leaves and takes no new work.
    pub drains: bool,
}
