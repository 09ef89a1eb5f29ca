use std::collections::{BTreeMap, BTreeSet};

use kqr_types::{DataCentre, Region, TargetId};

use super::{Problem, Problems, Resolved, SettingPath, Tree};
use crate::{
    schema::{Location, Node},
    values::Names,
};

/// Returns the canonical text of `value` at `path`.
///
/// # Errors
///
/// Fails if the path is unknown or does not point at a value, or if the value is not allowed there.
pub fn canonical_value(path: &SettingPath, value: &str) -> Result<String, Problem> {
    let problem = |value: Option<&str>, allowed: String, nearest| Problem {
        place: None,
        path: path.clone(),
        value: value.map(str::to_owned),
        allowed,
        nearest,
    };
    match Location::find(&path.segments()) {
        Ok(Location::Value(_, rule)) => rule
            .canonical(value)
            .map_err(|allowed| problem(Some(value), allowed, None)),
        Ok(Location::Node(_) | Location::Group(_)) => Err(problem(
            Some(value),
            "a mapping with at least one key".to_owned(),
            None,
        )),
        Err(error) => Err(problem(None, error.allowed, error.nearest)),
    }
}

/// Checks a whole tree.
///
/// # Errors
///
/// Fails with all problems that were found.
pub fn validate(tree: &Tree) -> Result<(), Problems> {
    let mut checks = Checks::default();
    for (path, _) in tree.iter() {
        if let Ok(Location::Value(
            Node {
                target: Some(target), ..
            },
            _,
        )) = Location::find(&path.segments())
        {
            checks.first_names.insert(target);
        }
    }
    for (path, value) in tree.iter() {
        checks.check(tree, path, value);
    }
    if checks.problems.is_empty() {
        Ok(())
    } else {
        Err(Problems(checks.problems))
    }
}

#[derive(Default)]
struct Checks {
    problems: Vec<Problem>,
    regions: BTreeMap<DataCentre, Region>,
    first_names: BTreeSet<TargetId>,
    identities: BTreeMap<TargetId, TargetId>,
}

impl Checks {
    fn check(&mut self, tree: &Tree, path: &SettingPath, value: &str) {
        if let Err(problem) = canonical_value(path, value) {
            self.problems.push(problem);
            return;
        }
        let Ok(Location::Value(node, rule)) = Location::find(&path.segments()) else {
            return;
        };
        self.check_region(path, &node);
        match rule.key {
            "names" => self.check_names(path, &node, value),
            "deadlines/default" | "deadlines/max" => self.check_deadlines(tree, path, &node, value),
            _ => {}
        }
    }

    fn check_region(&mut self, path: &SettingPath, node: &Node) {
        let (Some(region), Some(data_centre)) = (&node.region, &node.data_centre) else {
            return;
        };
        let known = self
            .regions
            .entry(data_centre.clone())
            .or_insert_with(|| region.clone());
        if known == region {
            return;
        }
        let allowed =
            format!("data centre {data_centre} under one region only; it also stands under {known}");
        self.report(path, region.as_str(), allowed);
    }

    fn check_names(&mut self, path: &SettingPath, node: &Node, value: &str) {
        let (Some(identity), Ok(names)) = (&node.target, value.parse::<Names>()) else {
            return;
        };
        for name in names.0 {
            if name == *identity {
                self.report(
                    path,
                    value,
                    "names that differ from the target's first name".to_owned(),
                );
                continue;
            }
            if let Some(other) = self.identities.insert(name.clone(), identity.clone())
                && other != *identity
            {
                let allowed = format!("names of this target only; {name} is a name of {other}");
                self.report(path, value, allowed);
            }
            if self.first_names.contains(&name) {
                let allowed = format!("names that are no other target's first name; {name} is one");
                self.report(path, value, allowed);
            }
        }
    }

    fn check_deadlines(&mut self, tree: &Tree, path: &SettingPath, node: &Node, value: &str) {
        let rules = Resolved::of(tree, node).rules;
        if rules.deadline > rules.max_deadline {
            let (deadline, most) = (rules.deadline, rules.max_deadline);
            let allowed =
                format!("deadlines/default ({deadline}) at most deadlines/max ({most}) once inherited");
            self.report(path, value, allowed);
        }
    }

    fn report(&mut self, path: &SettingPath, value: &str, allowed: String) {
        self.problems.push(Problem {
            place: None,
            path: path.clone(),
            value: Some(value.to_owned()),
            allowed,
            nearest: None,
        });
    }
}
