use crate::{Gap, Torn};

/// What is missing or malformed in event files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Lines that are not events.
    pub torn: Vec<Torn>,
    /// Number of further lines that are not events.
    pub untold: u64,
    /// Events that are in no file.
    pub gaps: Vec<Gap>,
    /// Number of events that stand in their file too late to be brought in order.
    pub misplaced: u64,
}

impl Findings {
    /// Returns what is missing or malformed, one line each.
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings: Vec<String> = self.torn.iter().map(ToString::to_string).collect();
        if self.untold > 0 {
            warnings.push(format!("{} further lines are not events", self.untold));
        }
        warnings.extend(self.gaps.iter().map(ToString::to_string));
        if self.misplaced > 0 {
            warnings.push(format!(
                "{} events stand far out of order in their files and are not in causal order here",
                self.misplaced
            ));
        }
        warnings
    }
}
