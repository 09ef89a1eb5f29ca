use super::{OverriddenValue, SettingExplanation, SettingPath, Tree};
use crate::schema::{Level, Node, ServiceSettings, TargetSettings, TeamSettings, settings_at};

/// Effective settings of one node, including inherited values.
///
/// A value is looked up in the target, then its service, the data centre, the region and the root. A target,
/// service or team may be defined at the data centre, the region and the root; the closest of these
/// definitions takes precedence. The default deadline is clamped to the maximum.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedSettings {
    /// Settings for requests, tasks and targets.
    pub service: ServiceSettings,
    /// Settings of the target itself, which are not inherited from its service.
    pub target: TargetSettings,
    /// Settings of the team; the defaults if the node is not a team.
    pub team: TeamSettings,
}

impl ResolvedSettings {
    /// Resolves the settings of `node` in `tree`.
    pub fn of(tree: &Tree, node: &Node) -> Self {
        let chain = inheritance_chain(node);
        let lookup = |key: &'static str| closest_value(tree, &chain, key);
        let mut service = ServiceSettings::from_texts(lookup);
        service.deadline = service.deadline.min(service.max_deadline);
        Self {
            service,
            target: TargetSettings::from_texts(lookup),
            team: TeamSettings::from_texts(lookup),
        }
    }

    /// Returns the effective value of each setting of `node`, with the path that it comes from.
    pub fn explain(tree: &Tree, node: &Node) -> Vec<SettingExplanation> {
        let chain = inheritance_chain(node);
        let mut explanations = Vec::new();
        for spec in settings_at(node.level()) {
            let mut found: Vec<OverriddenValue> = Vec::new();
            for path in chain.iter().rev() {
                let path = path.join(spec.key);
                let Some(value) = tree.get(&path) else { continue };
                let value = value.to_owned();
                found.push(OverriddenValue { path, value });
            }
            let mut found = found.into_iter();
            let closest = found.next();
            explanations.push(SettingExplanation {
                key: spec.key.to_owned(),
                value: closest
                    .as_ref()
                    .map_or_else(|| spec.default.to_owned(), |closest| closest.value.clone()),
                origin: closest.map(|closest| closest.path),
                overridden: found.collect(),
            });
        }
        explanations
    }
}

/// Returns the effective settings of `node` without clamping the default deadline to the maximum.
pub(super) fn unclamped_settings_at(tree: &Tree, node: &Node) -> ServiceSettings {
    let chain = inheritance_chain(node);
    ServiceSettings::from_texts(|key| closest_value(tree, &chain, key))
}

/// Returns the value of `key` from the last path in `chain` that sets it.
fn closest_value<'tree>(tree: &'tree Tree, chain: &[SettingPath], key: &str) -> Option<&'tree str> {
    chain.iter().rev().find_map(|path| tree.get(&path.join(key)))
}

/// Returns the paths that `node` inherits from, from the root to the path of `node` itself.
fn inheritance_chain(node: &Node) -> Vec<SettingPath> {
    let locations = locations(node);
    let mut chain = Vec::new();
    if node.level() != Level::Team {
        chain.extend(locations.iter().map(SettingPath::of));
    }
    for location in &locations {
        let Some(service) = &node.service else { break };
        let mut definition = location.clone();
        definition.service = Some(service.clone());
        chain.push(SettingPath::of(&definition));
    }
    for location in &locations {
        if node.target.is_none() && node.team.is_none() {
            break;
        }
        let mut definition = location.clone();
        definition.service.clone_from(&node.service);
        definition.target.clone_from(&node.target);
        definition.team.clone_from(&node.team);
        chain.push(SettingPath::of(&definition));
    }
    chain
}

/// Returns the root, and the region and data centre that contain `node`, if there are any.
fn locations(node: &Node) -> Vec<Node> {
    let mut locations = vec![Node::default()];
    if node.region.is_none() {
        return locations;
    }
    let mut location = Node {
        region: node.region.clone(),
        ..Node::default()
    };
    locations.push(location.clone());
    if node.data_centre.is_some() {
        location.data_centre.clone_from(&node.data_centre);
        locations.push(location);
    }
    locations
}
