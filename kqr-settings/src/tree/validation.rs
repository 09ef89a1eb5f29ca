use std::collections::BTreeSet;

use super::{Problem, Problems, SettingPath, Tree, alias_check, deadline_check, region_check};
use crate::schema::{Location, Node, SettingSpec};

/// Returns the canonical text of `value` for the setting at `path`.
///
/// # Errors
///
/// Returns an error if the path is unknown or does not refer to a value, or if the value is not allowed.
pub fn canonical_value(path: &SettingPath, value: &str) -> Result<String, Problem> {
    let problem = |value: Option<&str>, allowed: String, nearest| Problem {
        source_location: None,
        path: path.clone(),
        value: value.map(str::to_owned),
        allowed,
        nearest,
    };
    match Location::find(&path.segments()) {
        Ok(Location::Value(_, spec)) => spec
            .canonicalize(value)
            .map_err(|allowed| problem(Some(value), allowed, None)),
        Ok(Location::Node(_) | Location::Group(_)) => Err(problem(
            Some(value),
            "a mapping with at least one key".to_owned(),
            None,
        )),
        Err(error) => Err(problem(None, error.allowed, error.nearest)),
    }
}

/// Validates a whole tree.
///
/// # Errors
///
/// Returns all problems that were found.
pub fn validate(tree: &Tree) -> Result<(), Problems> {
    validate_changed(tree, tree.iter().map(|(path, _)| path))
}

/// Validates a tree that was valid before the values at the paths `touched` were set or removed.
///
/// # Errors
///
/// Returns all problems that were found.
pub fn validate_changed<'tree, Paths>(tree: &Tree, touched: Paths) -> Result<(), Problems>
where
    Paths: IntoIterator<Item = &'tree SettingPath>,
{
    let mut problems = Vec::new();
    let mut touched_nodes = Vec::new();
    let paths: BTreeSet<&SettingPath> = touched.into_iter().collect();
    for path in paths.iter().copied() {
        if let Some(value) = tree.get(path)
            && let Err(problem) = canonical_value(path, value)
        {
            problems.push(problem);
            continue;
        }
        if let Ok(Location::Value(node, spec)) = Location::find(&path.segments()) {
            touched_nodes.push((node, spec));
        }
    }
    region_check::check(tree, touched_nodes.iter().map(|(node, _)| node), &mut problems);
    if touched_nodes
        .iter()
        .any(|touched| affects_target_names(tree, &paths, touched))
    {
        alias_check::check(tree, &mut problems);
    }
    if touched_nodes.iter().any(is_deadline) {
        deadline_check::check(tree, &mut problems);
    }
    if problems.is_empty() {
        Ok(())
    } else {
        Err(Problems(problems))
    }
}

/// Returns whether a touched value sets the aliases of a target, or may be the first value that defines the
/// target.
fn affects_target_names(tree: &Tree, paths: &BTreeSet<&SettingPath>, touched: &(Node, &SettingSpec)) -> bool {
    let (node, spec) = touched;
    if node.target.is_none() {
        return false;
    }
    let target = SettingPath::of(node);
    spec.key == "names" || tree.subtree(&target).all(|(path, _)| paths.contains(path))
}

/// Returns whether a touched value is one of the compared deadlines.
fn is_deadline(touched: &(Node, &SettingSpec)) -> bool {
    deadline_check::DEADLINE_KEYS.contains(&touched.1.key)
}
