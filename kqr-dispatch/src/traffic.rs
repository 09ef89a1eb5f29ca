use std::fmt;

/// Type of a message on the link of an entry. An answer has the type of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Traffic {
    /// Orders to owners, with the payloads of their jobs.
    Orders,
    /// Ends of orders.
    Ends,
    /// Loads, which also serve as heartbeats.
    Loads,
    /// Cancellations of orders.
    Cancellations,
    /// Other messages between siblings.
    OtherSiblings,
    /// Exchanges with control.
    Control,
    /// Starts of runs, with the payloads of their jobs.
    Starts,
    /// Stops of runs.
    Stops,
    /// Polls of targets.
    Polls,
    /// Reports of targets.
    Reports,
    /// Requests of callers.
    Callers,
}

impl Traffic {
    /// All types, in the order of their discriminants.
    pub const ALL: [Self; 11] = [
        Self::Orders,
        Self::Ends,
        Self::Loads,
        Self::Cancellations,
        Self::OtherSiblings,
        Self::Control,
        Self::Starts,
        Self::Stops,
        Self::Polls,
        Self::Reports,
        Self::Callers,
    ];

    /// Returns the type as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Orders => "orders",
            Self::Ends => "ends",
            Self::Loads => "loads",
            Self::Cancellations => "cancellations",
            Self::OtherSiblings => "other-siblings",
            Self::Control => "control",
            Self::Starts => "starts",
            Self::Stops => "stops",
            Self::Polls => "polls",
            Self::Reports => "reports",
            Self::Callers => "callers",
        }
    }
}

impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
