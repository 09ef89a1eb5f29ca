use std::collections::BTreeMap;

use kqr_types::InstanceId;

use crate::Gap;

/// Numbers of the events of one life of a process, as spans without a gap: first to last.
#[derive(Clone, Debug, Default)]
pub struct Numbers {
    spans: BTreeMap<u64, u64>,
}

impl Numbers {
    /// Notes that the event with `number` is there.
    pub fn insert(&mut self, number: u64) {
        let mut first = number;
        let mut last = number;
        if let Some((&start, &end)) = self.spans.range(..=number).next_back() {
            if end >= number {
                return;
            }
            if end + 1 == number {
                first = start;
            }
        }
        if let Some(end) = number.checked_add(1).and_then(|next| self.spans.remove(&next)) {
            last = end;
        }
        self.spans.insert(first, last);
    }

    /// Ends the life and returns the gaps in its numbers.
    pub fn close(self, instance: &InstanceId) -> Vec<Gap> {
        let mut gaps = Vec::new();
        let mut earlier: Option<u64> = None;
        for (first, last) in self.spans {
            if let Some(after) = earlier {
                gaps.push(Gap {
                    instance: instance.clone(),
                    after,
                    missing: first - after - 1,
                });
            }
            earlier = Some(last);
        }
        gaps
    }
}
