/// A deliberate fault of the machine, to prove that the specification finds it.
///
/// A fault has an effect only with the crate's feature `faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A task is started before its intent is acknowledged.
    StartBeforeAck,
    /// The lease is not checked.
    NoLeaseCheck,
    /// A home acts before the other members have sealed the old epoch.
    HomeBeforeSeal,
    /// A restarted member becomes full without a copy.
    ResyncSkipped,
    /// An attempt of an earlier home is taken for not started, without a question to its target.
    FenceSkipped,
    /// A caller gets an answer before the followers have it.
    ReplyBeforeAck,
    /// A member that missed views goes on with its old records.
    GapIgnored,
    /// A complete loss of the records is not noticed.
    ColdStartIgnored,
    /// The answer of a job is put out when its first task has ended.
    AnswerWithFirstTask,
}
