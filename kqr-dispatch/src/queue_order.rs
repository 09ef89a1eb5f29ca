/// Order in which the waiting orders of a priority are served at an owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// By priority and arrival.
    Arrival,
    /// By priority and the latest start that is on time.
    LatestStart,
    /// First the orders that can still be on time, by priority and latest start. Then the late ones, by priority, and of these
    /// first those of jobs that have already begun.
    #[default]
    OnTimeFirst,
}
