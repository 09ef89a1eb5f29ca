/// A deliberate fault of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CellFault {
    /// The machines allow for no drift of the clocks.
    NoDriftMargin,
    /// A granted lease lasts twice as long as its leader counts.
    LongerLease,
    /// The first leader's leases last twice as long as later leaders wait.
    ShorterWait,
    /// A lease counts from its arrival.
    CountsFromArrival,
    /// A lease is good for any life of its holder.
    IgnoresLife,
    /// A member reports its copy complete without having made it.
    SaysSynced,
    /// A restarted instance takes itself for the only voter.
    CountsOnlyItself,
    /// A voter without a disk keeps its identity over a restart.
    KeepsIdentity,
    /// What arrives after a restart arrives again without end.
    EchoesAfterRestart,
    /// Wall clocks show an early time after a restart.
    WallClockGoesBack,
}
