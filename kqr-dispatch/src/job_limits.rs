use std::fmt;

use kqr_fleet::TargetRecord;
use serde::{Deserialize, Serialize};

use crate::JobRequest;

/// Limits on the size of one job. They are checked before any work that grows with the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// Maximum number of tasks in all steps.
    pub tasks: u64,
    /// Maximum number of steps.
    pub steps: usize,
    /// Maximum number of dependencies of all steps.
    pub dependencies: usize,
    /// Maximum size of the payload, in bytes.
    pub spec_bytes: usize,
}

/// The limit that a job exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobPart {
    /// The tasks in all steps.
    Tasks,
    /// The steps.
    Steps,
    /// The dependencies of all steps.
    Dependencies,
    /// The payload.
    Spec,
    /// A required label, which is longer than any label of a target.
    Label,
}

impl JobLimits {
    /// The limits that apply by default.
    pub const DEFAULT: Self = Self {
        tasks: 1_000,
        steps: 250,
        dependencies: 5_000,
        spec_bytes: 4_000,
    };

    /// Checks that a job is within the limits. The check stops at the first limit that is exceeded.
    ///
    /// # Errors
    ///
    /// Returns the part of the job that exceeds its limit.
    pub fn check(&self, request: &JobRequest) -> Result<(), JobPart> {
        if request.steps.len() > self.steps {
            return Err(JobPart::Steps);
        }
        if request.task_count() > self.tasks {
            return Err(JobPart::Tasks);
        }
        if request.dependency_count() > self.dependencies {
            return Err(JobPart::Dependencies);
        }
        if request.spec.len() > self.spec_bytes {
            return Err(JobPart::Spec);
        }
        let mut labels = request.steps.iter().filter_map(|step| step.label.as_ref());
        if labels.any(|label| label.len() > TargetRecord::MAX_LABEL_BYTES) {
            return Err(JobPart::Label);
        }
        Ok(())
    }
}

impl Default for JobLimits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl JobPart {
    /// Returns the part as a word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Tasks => "tasks",
            Self::Steps => "steps",
            Self::Dependencies => "dependencies",
            Self::Spec => "spec",
            Self::Label => "label",
        }
    }
}

impl fmt::Display for JobPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
