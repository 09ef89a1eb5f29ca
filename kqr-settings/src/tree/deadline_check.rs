//! Checks that the default deadline does not exceed the maximum, at each node that sets one of the two.

use super::{Problem, Tree, resolved::unclamped_settings_at};
use crate::schema::Location;

/// Keys of the settings that the check compares.
pub(super) const DEADLINE_KEYS: [&str; 2] = ["deadlines/default", "deadlines/max"];

/// Adds a problem for each deadline setting of a node whose effective default deadline exceeds the effective
/// maximum.
pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    for (path, value) in tree.iter() {
        if !DEADLINE_KEYS.iter().any(|key| path.as_str().ends_with(key)) {
            continue;
        }
        let Ok(Location::Value(node, _)) = Location::find(&path.segments()) else {
            continue;
        };
        let settings = unclamped_settings_at(tree, &node);
        if settings.deadline <= settings.max_deadline {
            continue;
        }
        let (deadline, max) = (settings.deadline, settings.max_deadline);
        problems.push(Problem {
            source_location: None,
            path: path.clone(),
            value: Some(value.to_owned()),
            allowed: format!(
                "deadlines/default ({deadline}) at most deadlines/max ({max}) after inheritance"
            ),
            nearest: None,
        });
    }
}
