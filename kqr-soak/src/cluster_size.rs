/// Number of processes and targets of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterSize {
    /// Control instances.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Targets.
    pub targets: usize,
}
