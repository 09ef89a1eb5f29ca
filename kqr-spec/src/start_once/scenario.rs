use kqr_jobs::Fault;

/// How often each event may happen in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Budget {
    /// Submissions with the next attempt number.
    pub submissions: u8,
    /// Copies of a submission that reach another member, with the same attempt number.
    pub copies: u8,
    /// Cancellations.
    pub cancels: u8,
    /// Questions of another data centre that make this one promise never to run the key.
    pub renounces: u8,
    /// Messages that arrive once more than they were sent.
    pub duplicates: u8,
    /// Epochs that the cell agrees on after the first, those of promotions not counted.
    pub epochs: u8,
    /// Members that crash.
    pub crashes: u8,
    /// Members that restart with a new incarnation and no memory.
    pub restarts: u8,
    /// Leases that end while their member lives.
    pub expiries: u8,
    /// Targets that restart with a new incarnation and no memory.
    pub target_restarts: u8,
    /// Tasks that fail at their target.
    pub failures: u8,
}

/// Bounds of one search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Name, for a person.
    pub name: &'static str,
    /// Number of members, 1 to 3.
    pub members: u8,
    /// Number of members that are full at first; the others have just joined.
    pub full: u8,
    /// Number of tasks of the job.
    pub tasks: u16,
    /// Events that may happen.
    pub budget: Budget,
    /// A deliberate fault of the machines.
    pub fault: Option<Fault>,
    /// Whether callers appear only when a lease has ended and the cell trusts its records again.
    pub is_late: bool,
    /// Whether targets forget to refuse the late start of an attempt that they said they had never seen.
    pub is_unfenced: bool,
}
