/// State of the probe of a target, a poll without a wait that is sent besides the periodic polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeState {
    /// No probe is in flight.
    Idle,
    /// A probe is in flight.
    InFlight,
    /// A probe is in flight, but was sent too early for the latest request; another one follows.
    Repeat,
}
