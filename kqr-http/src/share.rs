/// Group of listeners with connections and memory of its own, so that one group can't use up those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Share {
    /// Callers, who submit jobs.
    Callers,
    /// Operators, and targets that report.
    Operators,
    /// Metrics and readiness probes.
    Monitoring,
}

impl Share {
    /// All shares, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Callers, Self::Operators, Self::Monitoring];

    /// Returns the name of the share in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Operators => "operators",
            Self::Monitoring => "monitoring",
        }
    }
}
