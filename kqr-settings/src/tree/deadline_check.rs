//! The default deadline is at most the longest one, at each node that carries one of the two.

use super::{Problem, Tree, resolved::rules_at};
use crate::schema::Location;

/// Keys that the check concerns.
pub(super) const KEYS: [&str; 2] = ["deadlines/default", "deadlines/max"];

/// Adds a problem for each node whose default deadline is longer than its longest one.
pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    for (path, value) in tree.iter() {
        if !KEYS.iter().any(|key| path.as_str().ends_with(key)) {
            continue;
        }
        let Ok(Location::Value(node, _)) = Location::find(&path.segments()) else {
            continue;
        };
        let rules = rules_at(tree, &node);
        if rules.deadline <= rules.max_deadline {
            continue;
        }
        let (deadline, most) = (rules.deadline, rules.max_deadline);
        problems.push(Problem {
            source_location: None,
            path: path.clone(),
            value: Some(value.to_owned()),
            allowed: format!("deadlines/default ({deadline}) at most deadlines/max ({most}) once inherited"),
            nearest: None,
        });
    }
}
