/// A metric that is set to its current value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GaugeMetric {
    /// Tasks that are waiting for a slot.
    WaitingTasks,
    /// Jobs that have not ended.
    LiveJobs,
    /// Ended jobs whose answer is retained.
    RememberedKeys,
    /// Targets that accept new work.
    PresentTargets,
    /// Targets that missed renewals.
    SuspectTargets,
    /// Targets that are leaving.
    LeavingTargets,
    /// Targets that get only one task at a time because their tasks keep failing.
    QuarantinedTargets,
    /// Slots of targets that are leased to this entry.
    SharedSlots,
    /// Leased slots in use.
    UsedSlots,
    /// Retries and hedges that the budget still allows.
    RetryBudget,
    /// Epoch of the cell.
    Epoch,
    /// Version of the applied settings.
    SettingsVersion,
    /// Members of the replicated log that vote.
    LogVoters,
    /// Members of the replicated log that do not vote.
    LogLearners,
    /// Voters that the leader would replace by learners.
    LostVoters,
}

impl GaugeMetric {
    /// All gauges, in the order of their declaration.
    pub const ALL: [Self; 15] = [
        Self::WaitingTasks,
        Self::LiveJobs,
        Self::RememberedKeys,
        Self::PresentTargets,
        Self::SuspectTargets,
        Self::LeavingTargets,
        Self::QuarantinedTargets,
        Self::SharedSlots,
        Self::UsedSlots,
        Self::RetryBudget,
        Self::Epoch,
        Self::SettingsVersion,
        Self::LogVoters,
        Self::LogLearners,
        Self::LostVoters,
    ];

    /// Returns the name of the metric.
    pub const fn name(self) -> &'static str {
        match self {
            Self::WaitingTasks => "kqr_waiting_tasks",
            Self::LiveJobs => "kqr_live_jobs",
            Self::RememberedKeys => "kqr_remembered_keys",
            Self::PresentTargets => "kqr_present_targets",
            Self::SuspectTargets => "kqr_suspect_targets",
            Self::LeavingTargets => "kqr_leaving_targets",
            Self::QuarantinedTargets => "kqr_quarantined_targets",
            Self::SharedSlots => "kqr_shared_slots",
            Self::UsedSlots => "kqr_used_slots",
            Self::RetryBudget => "kqr_retry_budget",
            Self::Epoch => "kqr_epoch",
            Self::SettingsVersion => "kqr_settings_version",
            Self::LogVoters => "kqr_log_voters",
            Self::LogLearners => "kqr_log_learners",
            Self::LostVoters => "kqr_lost_voters",
        }
    }

    /// Returns the description of the metric.
    pub const fn description(self) -> &'static str {
        match self {
            Self::WaitingTasks => "Tasks that wait for a slot",
            Self::LiveJobs => "Jobs that have not ended",
            Self::RememberedKeys => "Ended jobs whose answer is remembered",
            Self::PresentTargets => "Targets that take new work",
            Self::SuspectTargets => "Targets that missed renewals",
            Self::LeavingTargets => "Targets that leave",
            Self::QuarantinedTargets => {
                "Targets that get one task at a time because they fail what they start"
            }
            Self::SharedSlots => "Slots of targets that are leased to this entry",
            Self::UsedSlots => "Leased slots in use",
            Self::RetryBudget => "Retries and hedges that the budget still allows",
            Self::Epoch => "Epoch of the cell",
            Self::SettingsVersion => "Version of the settings in force",
            Self::LogVoters => "Voters of the replicated log in the last committed configuration",
            Self::LogLearners => "Learners of the replicated log in the last committed configuration",
            Self::LostVoters => "Voters that wait for a learner to replace them, at the leader",
        }
    }
}
