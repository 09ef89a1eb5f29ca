/// The look at a target beside its chain of polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Look {
    /// None is open.
    None,
    /// One is open.
    Open,
    /// One is open that was sent too early to show what is asked now; another one follows it.
    Again,
}
