use super::{OverriddenValue, SettingExplanation, SettingPath, Tree};
use crate::schema::{Level, Node, ServiceSettings, TargetSettings, TeamSettings, settings_at};

/// The settings in force at one node, with everything that it inherits.
///
/// Values are looked up from the closest node to the root: the target, then its service, then the data centre, the
/// region and the root. The default deadline is limited to the longest one. A target or service that is named at several places takes the one of the closest place first.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedSettings {
    /// Settings of requests, tasks and targets.
    pub service: ServiceSettings,
    /// Settings of the target only.
    pub target: TargetSettings,
    /// Settings of the team; the defaults if the node is no team.
    pub team: TeamSettings,
}

impl ResolvedSettings {
    /// Builds the view of `node`.
    pub fn of(tree: &Tree, node: &Node) -> Self {
        let chain = chain(node);
        let lookup = |key: &'static str| closest(tree, &chain, key);
        let mut service = ServiceSettings::from_texts(lookup);
        service.deadline = service.deadline.min(service.max_deadline);
        Self {
            service,
            target: TargetSettings::from_texts(lookup),
            team: TeamSettings::from_texts(lookup),
        }
    }

    /// Tells for each setting of `node` its value and where it comes from.
    pub fn explain(tree: &Tree, node: &Node) -> Vec<SettingExplanation> {
        let chain = chain(node);
        let mut all = Vec::new();
        for rule in settings_at(node.level()) {
            let mut found: Vec<OverriddenValue> = Vec::new();
            for path in chain.iter().rev() {
                let path = path.join(rule.key);
                let Some(value) = tree.get(&path) else { continue };
                let value = value.to_owned();
                found.push(OverriddenValue { path, value });
            }
            let mut found = found.into_iter();
            let closest = found.next();
            all.push(SettingExplanation {
                key: rule.key.to_owned(),
                value: closest
                    .as_ref()
                    .map_or_else(|| rule.default.to_owned(), |closest| closest.value.clone()),
                origin: closest.map(|closest| closest.path),
                overridden: found.collect(),
            });
        }
        all
    }
}

/// Returns the rules of `node` as they are written, without limiting one by another.
pub(super) fn rules_at(tree: &Tree, node: &Node) -> ServiceSettings {
    let chain = chain(node);
    ServiceSettings::from_texts(|key| closest(tree, &chain, key))
}

/// Returns the value of `key` at the last of the paths in `chain` that carries it.
fn closest<'tree>(tree: &'tree Tree, chain: &[SettingPath], key: &str) -> Option<&'tree str> {
    chain.iter().rev().find_map(|path| tree.get(&path.join(key)))
}

/// Returns the paths that `node` inherits from, the root first and its own last.
fn chain(node: &Node) -> Vec<SettingPath> {
    let places = places(node);
    let mut chain = Vec::new();
    if node.level() != Level::Team {
        chain.extend(places.iter().map(SettingPath::of));
    }
    for place in &places {
        let Some(service) = &node.service else { break };
        let mut part = place.clone();
        part.service = Some(service.clone());
        chain.push(SettingPath::of(&part));
    }
    for place in &places {
        if node.target.is_none() && node.team.is_none() {
            break;
        }
        let mut part = place.clone();
        part.service.clone_from(&node.service);
        part.target.clone_from(&node.target);
        part.team.clone_from(&node.team);
        chain.push(SettingPath::of(&part));
    }
    chain
}

/// Returns the root, the region and the data centre of `node`, as far as it has them.
fn places(node: &Node) -> Vec<Node> {
    let mut places = vec![Node::default()];
    if node.region.is_none() {
        return places;
    }
    let mut place = Node {
        region: node.region.clone(),
        ..Node::default()
    };
    places.push(place.clone());
    if node.data_centre.is_some() {
        place.data_centre.clone_from(&node.data_centre);
        places.push(place);
    }
    places
}
