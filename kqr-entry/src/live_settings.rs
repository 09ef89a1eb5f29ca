use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use arc_swap::ArcSwap;
use kqr_settings::{
    ResolvedSettings, ResubmissionRule, TargetNames, Tree, Version,
    schema::{Location, Node, ServiceSettings, TeamSettings},
};
use kqr_types::{DataCentre, Region, ServiceName, TargetId, TeamName};

/// The current settings of this entry, which are read without locks.
#[derive(Debug)]
pub struct LiveSettings {
    data_centre_node: Node,
    current: ArcSwap<SettingsSnapshot>,
}

/// One version of the settings, resolved for the data centre of this entry.
#[derive(Debug)]
pub struct SettingsSnapshot {
    /// The version, or `None` if no settings were received yet.
    pub version: Option<Version>,
    data_centre_node: Node,
    tree: Tree,
    names: TargetNames,
    data_centre: ServiceSettings,
    services: BTreeMap<ServiceName, ServiceSettings>,
    teams: BTreeMap<TeamName, TeamSettings>,
}

impl LiveSettings {
    /// Creates settings with the defaults of the schema.
    pub fn new(region: Option<Region>, data_centre: DataCentre) -> Self {
        let data_centre_node = Node {
            region,
            data_centre: Some(data_centre),
            ..Node::default()
        };
        let current = ArcSwap::from_pointee(SettingsSnapshot::new(None, &data_centre_node, Tree::default()));
        Self {
            data_centre_node,
            current,
        }
    }

    /// Replaces the current settings by a version.
    pub fn apply(&self, version: Version, tree: &Tree) {
        self.current.store(Arc::new(SettingsSnapshot::new(
            Some(version),
            &self.data_centre_node,
            tree.clone(),
        )));
    }

    /// Returns the current settings.
    pub fn current(&self) -> Arc<SettingsSnapshot> {
        self.current.load_full()
    }
}

impl SettingsSnapshot {
    fn new(version: Option<Version>, data_centre_node: &Node, tree: Tree) -> Self {
        let data_centre = ResolvedSettings::of(&tree, data_centre_node).service;
        let names = TargetNames::of(&tree);
        let mut services = BTreeMap::new();
        let mut teams = BTreeMap::new();
        for node in named_nodes(&tree) {
            if let Some(service) = node.service {
                let service_node = Node {
                    service: Some(service.clone()),
                    ..data_centre_node.clone()
                };
                services
                    .entry(service)
                    .or_insert_with(|| ResolvedSettings::of(&tree, &service_node).service);
            }
            if let Some(team) = node.team {
                let team_node = Node {
                    team: Some(team.clone()),
                    ..data_centre_node.clone()
                };
                teams
                    .entry(team)
                    .or_insert_with(|| ResolvedSettings::of(&tree, &team_node).team);
            }
        }
        Self {
            version,
            data_centre_node: data_centre_node.clone(),
            tree,
            names,
            data_centre,
            services,
            teams,
        }
    }

    /// Returns the rules of the data centre.
    pub fn data_centre_rules(&self) -> &ServiceSettings {
        &self.data_centre
    }

    /// Returns the rules of a service, or those of the data centre if the settings don't name the service.
    pub fn service_rules(&self, service: &ServiceName) -> &ServiceSettings {
        self.services.get(service).unwrap_or(&self.data_centre)
    }

    /// Returns whether the settings name a service.
    pub fn names_service(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the teams that the settings name, with their rules.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, &TeamSettings)> {
        self.teams.iter()
    }

    /// Returns the rules of a team, if the settings name it.
    pub fn team_rules(&self, team: &TeamName) -> Option<&TeamSettings> {
        self.teams.get(team)
    }

    /// Returns whether `team` marks its submissions with the number of the attempt, so that the first one is
    /// homed in the data centre where it arrives.
    pub fn is_marked(&self, team: &TeamName) -> bool {
        self.team_rules(team)
            .is_some_and(|rules| rules.resubmissions == ResubmissionRule::Marked)
    }

    /// Returns whether any team marks its submissions with the number of the attempt.
    pub fn has_marked_teams(&self) -> bool {
        self.teams
            .values()
            .any(|rules| rules.resubmissions == ResubmissionRule::Marked)
    }

    /// Returns the identifier of the target that is or was named `name`.
    pub fn target_id(&self, name: &TargetId) -> TargetId {
        self.names.identity(name).clone()
    }

    /// Returns the rules of a target.
    pub fn target_rules(&self, service: &ServiceName, target: &TargetId) -> ServiceSettings {
        let node = Node {
            service: Some(service.clone()),
            target: Some(target.clone()),
            ..self.data_centre_node.clone()
        };
        ResolvedSettings::of(&self.tree, &node).service
    }
}

/// Returns a node for each service and each team that the tree names at any level.
fn named_nodes(tree: &Tree) -> BTreeSet<Node> {
    let mut nodes = BTreeSet::new();
    for (path, _) in tree.iter() {
        let Ok(Location::Value(node, _)) = Location::find(&path.segments()) else {
            continue;
        };
        nodes.insert(Node {
            service: node.service,
            team: node.team,
            ..Node::default()
        });
    }
    nodes
}
