/// Where a run starts in relation to the data of its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DataPlace {
    /// The task names no rack.
    NoRack,
    /// On the rack that the task names.
    OnRack {
        /// Whether the order waited for a target there.
        has_waited: bool,
    },
    /// On another rack.
    Elsewhere {
        /// Whether the order waited for a target on its rack before.
        has_waited: bool,
    },
}
