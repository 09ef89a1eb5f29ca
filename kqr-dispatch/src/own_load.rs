use crate::{LoadChange, LoadTargets, LoadUpdate, OrderId, QueuedWork, TargetLoad, load_report::LoadReport};

/// Load of this entry as last reported, with the history that updates for siblings are made from.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnLoad {
    report: LoadReport,
    /// Number of the report; it increases with each change.
    number: u64,
    /// Number of the report in which the list of targets last changed.
    listed_at: u64,
    /// Numbers of the reports in which the loads of the targets last changed.
    changed_at: Vec<u64>,
}

impl OwnLoad {
    /// Returns whether there are no targets.
    pub(crate) const fn is_empty(&self) -> bool {
        self.report.targets.is_empty()
    }

    /// Returns the number of the last reported load.
    pub(crate) const fn number(&self) -> u64 {
        self.number
    }

    /// Replaces the load, whose list of targets may have changed.
    pub(crate) fn replace(&mut self, report: LoadReport) {
        self.number += 1;
        let is_same_list = report.targets.len() == self.report.targets.len()
            && pairs(&report, &self.report).all(|(new, old)| new.has_same_profile(old));
        if is_same_list {
            for (index, (new, old)) in pairs(&report, &self.report).enumerate() {
                if new != old {
                    self.changed_at[index] = self.number;
                }
            }
        } else {
            self.listed_at = self.number;
            self.changed_at = vec![self.number; report.targets.len()];
        }
        self.report = report;
    }

    /// Updates the loads of the targets, which are those of the last list. Returns whether something differs.
    pub(crate) fn refresh<Changes>(&mut self, changes: Changes, queued: QueuedWork) -> bool
    where
        Changes: Iterator<Item = LoadChange>,
    {
        let next_number = self.number + 1;
        let mut is_changed = queued != self.report.queued;
        self.report.queued = queued;
        for change in changes {
            let position = change.position as usize;
            let (Some(target), Some(at)) = (
                self.report.targets.get_mut(position),
                self.changed_at.get_mut(position),
            ) else {
                continue;
            };
            let is_same = target.free == change.free
                && target.is_open == change.is_open
                && target.slowness.to_bits() == change.slowness.to_bits();
            if is_same {
                continue;
            }
            target.free = change.free;
            target.is_open = change.is_open;
            target.slowness = change.slowness;
            *at = next_number;
            is_changed = true;
        }
        self.number += u64::from(is_changed);
        is_changed
    }

    /// Returns the update for a sibling that has the load with the number `since`, or none. `last_order` is the last
    /// order received from it.
    pub(crate) fn update_since(&self, since: Option<u64>, last_order: OrderId) -> LoadUpdate {
        let targets = match since {
            Some(since) if since >= self.listed_at => LoadTargets::Changed {
                since,
                changes: self.changes_since(since),
            },
            _ => LoadTargets::All(self.report.targets.clone()),
        };
        LoadUpdate {
            number: self.number,
            targets,
            queued: self.report.queued,
            is_leaving: self.report.is_leaving,
            last_order,
        }
    }

    fn changes_since(&self, since: u64) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        for (position, target) in self.report.targets.iter().enumerate() {
            if self.changed_at.get(position).is_none_or(|at| *at <= since) {
                continue;
            }
            changes.push(LoadChange {
                position: position as u32,
                free: target.free,
                slowness: target.slowness,
                is_open: target.is_open,
            });
        }
        changes
    }
}

fn pairs<'a>(
    new: &'a LoadReport,
    old: &'a LoadReport,
) -> impl Iterator<Item = (&'a TargetLoad, &'a TargetLoad)> {
    new.targets.iter().zip(&old.targets)
}
