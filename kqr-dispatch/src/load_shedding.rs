/// When a job is refused for lack of capacity, and when it is given up while it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadShedding {
    /// A job is refused if the expected wait exceeds its caller's deadline, and waits until that deadline.
    AtDeadline,
    /// A job is refused if its answer would be of no use, or if it can't be on time and the queue is so long that others
    /// could not be on time either. One that has not begun waits no longer than its answer can be of use.
    #[default]
    WhenUseless,
}
