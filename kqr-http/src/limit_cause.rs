/// Why a connection or a request was given up or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitCause {
    /// A connection was refused: all others are in use.
    ConnectionRefused,
    /// A connection was closed to make room for another one.
    ConnectionReplaced,
    /// A connection was given up to free memory.
    MemoryReclaimed,
    /// A request was refused: the memory is held by requests that were read completely.
    RequestRefused,
    /// A connection was closed because a head was not received in time.
    HeadTime,
    /// A connection was closed because nothing was received or sent for too long.
    IdleTime,
}

impl LimitCause {
    /// All causes, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::ConnectionRefused,
        Self::ConnectionReplaced,
        Self::MemoryReclaimed,
        Self::RequestRefused,
        Self::HeadTime,
        Self::IdleTime,
    ];

    /// Returns the name of the cause in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionRefused => "connection-refused",
            Self::ConnectionReplaced => "connection-replaced",
            Self::MemoryReclaimed => "memory-reclaimed",
            Self::RequestRefused => "request-refused",
            Self::HeadTime => "head-time",
            Self::IdleTime => "idle-time",
        }
    }
}
