/// The look at a target beside its chain of polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeState {
    /// None is open.
    Idle,
    /// One is open.
    InFlight,
    /// One is open that was sent too early to show what is asked now; another one follows it.
    Repeat,
}
