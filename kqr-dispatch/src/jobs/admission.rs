use std::time::Duration;

/// What decides about the admission of a job beside the loads of the owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Admission {
    /// Whether answers of owners may be missing, so that a job that no known target can run is admitted.
    pub(crate) is_survey_pending: bool,
    /// Expected time until the messages of the job have passed the link; zero without a rate.
    pub(crate) link_time: Duration,
}
