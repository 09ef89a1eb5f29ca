use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use arc_swap::ArcSwap;
use kqr_settings::{
    Resolved, ResubmissionRule, TargetNames, Tree, Version,
    schema::{Location, Node, Rules, TeamRules},
};
use kqr_types::{DataCentre, Region, ServiceName, TargetId, TeamName};

/// The settings in force at this entry, read without locks.
#[derive(Debug)]
pub struct LiveSettings {
    place: Node,
    present: ArcSwap<SettingsSnapshot>,
}

/// One version of the settings, resolved for the data centre of this entry.
#[derive(Debug)]
pub struct SettingsSnapshot {
    /// The version, or `None` as long as none was received.
    pub version: Option<Version>,
    place: Node,
    tree: Tree,
    names: TargetNames,
    site: Rules,
    services: BTreeMap<ServiceName, Rules>,
    teams: BTreeMap<TeamName, TeamRules>,
}

impl LiveSettings {
    /// Creates the settings of an entry that has received none: the defaults of the schema.
    pub fn new(region: Option<Region>, data_centre: DataCentre) -> Self {
        let place = Node {
            region,
            data_centre: Some(data_centre),
            ..Node::default()
        };
        let present = ArcSwap::from_pointee(SettingsSnapshot::new(None, &place, Tree::default()));
        Self { place, present }
    }

    /// Puts a version in force.
    pub fn apply(&self, version: Version, tree: &Tree) {
        self.present.store(Arc::new(SettingsSnapshot::new(
            Some(version),
            &self.place,
            tree.clone(),
        )));
    }

    /// Returns the settings in force.
    pub fn current(&self) -> Arc<SettingsSnapshot> {
        self.present.load_full()
    }
}

impl SettingsSnapshot {
    fn new(version: Option<Version>, place: &Node, tree: Tree) -> Self {
        let site = Resolved::of(&tree, place).rules;
        let names = TargetNames::of(&tree);
        let mut services = BTreeMap::new();
        let mut teams = BTreeMap::new();
        for node in named_nodes(&tree) {
            if let Some(service) = node.service {
                let place = Node {
                    service: Some(service.clone()),
                    ..place.clone()
                };
                services
                    .entry(service)
                    .or_insert_with(|| Resolved::of(&tree, &place).rules);
            }
            if let Some(team) = node.team {
                let place = Node {
                    team: Some(team.clone()),
                    ..place.clone()
                };
                teams
                    .entry(team)
                    .or_insert_with(|| Resolved::of(&tree, &place).team);
            }
        }
        Self {
            version,
            place: place.clone(),
            tree,
            names,
            site,
            services,
            teams,
        }
    }

    /// Returns the rules of the data centre.
    pub fn data_centre_rules(&self) -> &Rules {
        &self.site
    }

    /// Returns the rules of a service; those of the data centre if the settings don't name it.
    pub fn service_rules(&self, service: &ServiceName) -> &Rules {
        self.services.get(service).unwrap_or(&self.site)
    }

    /// Returns whether the settings name a service.
    pub fn names_service(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the teams that the settings name, with their rules.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, &TeamRules)> {
        self.teams.iter()
    }

    /// Returns the rules of a team, if the settings name it.
    pub fn team_rules(&self, team: &TeamName) -> Option<&TeamRules> {
        self.teams.get(team)
    }

    /// Returns whether the first try of a submission of `team` is homed where it arrives.
    pub fn is_marked(&self, team: &TeamName) -> bool {
        self.team_rules(team)
            .is_some_and(|rules| rules.resubmissions == ResubmissionRule::Marked)
    }

    /// Returns whether any team marks its tries.
    pub fn has_marked_teams(&self) -> bool {
        self.teams
            .values()
            .any(|rules| rules.resubmissions == ResubmissionRule::Marked)
    }

    /// Returns the identity of the target that calls itself `name`.
    pub fn target_id(&self, name: &TargetId) -> TargetId {
        self.names.identity(name).clone()
    }

    /// Returns the rules of a target.
    pub fn target_rules(&self, service: &ServiceName, target: &TargetId) -> Rules {
        let node = Node {
            service: Some(service.clone()),
            target: Some(target.clone()),
            ..self.place.clone()
        };
        Resolved::of(&self.tree, &node).rules
    }
}

/// Returns the nodes of services and teams that the tree names, wherever they stand.
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
