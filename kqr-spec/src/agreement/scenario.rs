/// How often each kind of event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AgreementBudget {
    /// Election timeouts.
    pub timeouts: u8,
    /// Heartbeats of a leader.
    pub heartbeats: u8,
    /// Proposals at a leader.
    pub proposals: u8,
    /// Messages that arrive twice.
    pub duplicates: u8,
    /// Crashes, each followed by a restart from what was persisted.
    pub crashes: u8,
    /// Compactions.
    pub compactions: u8,
    /// Leads that are handed over.
    pub handovers: u8,
}

/// A deliberate fault of the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AgreementFault {
    /// Votes and terms are not persisted.
    ForgetsVotes,
    /// Entries are not persisted.
    ForgetsEntries,
    /// A member that lost its disk keeps its identity.
    KeepsIdentityWithoutDisk,
    /// Refused votes count as granted.
    CountsRefusals,
    /// Each member counts itself as the only voter.
    CountsOnlyItself,
}

/// What may happen in one search.
#[derive(Clone, Copy, Debug)]
pub struct AgreementScenario {
    /// Name, for a person.
    pub name: &'static str,
    /// Number of voters.
    pub voters: usize,
    /// Number of voters that campaign when their timeout ends; the others wait.
    pub campaigners: usize,
    /// How many messages are under way between two members at most; an older one is lost.
    pub capacity: usize,
    /// How often each kind of event may happen.
    pub budget: AgreementBudget,
    /// The fault, if any.
    pub fault: Option<AgreementFault>,
}
