/// A fault that can be injected into the machine, to verify that the specification detects it.
///
/// Takes effect only with the crate's feature `faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A task is started before its intent is acknowledged.
    StartBeforeAck,
    /// A home does not check its lease.
    NoLeaseCheck,
    /// A home acts before the other members have sealed the old epoch.
    HomeBeforeSeal,
    /// A restarted member is promoted to full without copying the records.
    ResyncSkipped,
    /// An attempt of an earlier home is treated as not started, without a query to its target.
    FenceSkipped,
    /// A caller is answered before the followers have acknowledged the answer.
    ReplyBeforeAck,
    /// A member that missed views continues with its old records.
    GapIgnored,
    /// A complete loss of the records is not detected.
    ColdStartIgnored,
    /// A job is answered when its first task has ended.
    AnswerWithFirstTask,
}
