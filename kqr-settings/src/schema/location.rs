use kqr_types::{DataCentre, ParseError, Region, ServiceName, TargetId, TeamName};

use super::{Level, SettingSpec, settings_at};

/// A node of the settings tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Node {
    /// Region that it stands in.
    pub region: Option<Region>,
    /// Data centre that it stands in.
    pub data_centre: Option<DataCentre>,
    /// Service that it is or belongs to.
    pub service: Option<ServiceName>,
    /// Target that it is.
    pub target: Option<TargetId>,
    /// Team that it is.
    pub team: Option<TeamName>,
}

/// What a path of the settings tree points at.
#[derive(Debug)]
pub enum Location {
    /// A whole node.
    Node(Node),
    /// One value of a node.
    Value(Node, &'static SettingSpec),
    /// A group within or below a node, such as `limits` or `services`.
    Group(Node),
}

/// A segment of a path that is not allowed where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocationError {
    /// Number of the wrong segment, from 0.
    pub segment: usize,
    /// What is allowed there.
    pub allowed: String,
    /// Known key that is most like the given one.
    pub nearest: Option<String>,
}

/// Least similarity of a key that is offered in place of an unknown one, from 0 to 1.
const LEAST_SIMILARITY: f64 = 0.6;

impl Node {
    /// Returns the kind of the node.
    pub fn level(&self) -> Level {
        if self.team.is_some() {
            return Level::Team;
        }
        if self.target.is_some() {
            return Level::Target;
        }
        if self.service.is_some() {
            return Level::Service;
        }
        if self.data_centre.is_some() {
            return Level::DataCentre;
        }
        if self.region.is_some() {
            return Level::Region;
        }
        Level::Root
    }

    /// Returns the keys of the groups that hold nodes below this one.
    fn child_groups(&self) -> &'static [&'static str] {
        match self.level() {
            Level::Root => &["regions", "services", "teams"],
            Level::Region => &["data_centres", "services", "teams"],
            Level::DataCentre => &["services", "teams"],
            Level::Service => &["targets"],
            Level::Target | Level::Team => &[],
        }
    }

    fn child(&self, group: &str, name: &str) -> Result<Self, ParseError> {
        let mut child = self.clone();
        match group {
            "regions" => child.region = Some(name.parse()?),
            "data_centres" => child.data_centre = Some(name.parse()?),
            "services" => child.service = Some(name.parse()?),
            "targets" => child.target = Some(name.parse()?),
            _ => child.team = Some(name.parse()?),
        }
        Ok(child)
    }
}

impl Location {
    /// Finds what the segments of a path point at.
    ///
    /// # Errors
    ///
    /// Fails if a segment is not a key that is allowed at its place, or not a valid name.
    pub fn find(segments: &[&str]) -> Result<Self, LocationError> {
        let mut node = Node::default();
        let mut index = 0;
        loop {
            let Some(&key) = segments.get(index) else {
                return Ok(Self::Node(node));
            };
            if !node.child_groups().contains(&key) {
                return Self::find_rule(node, segments, index);
            }
            let Some(&name) = segments.get(index + 1) else {
                return Ok(Self::Group(node));
            };
            node = node.child(key, name).map_err(|error| LocationError {
                segment: index + 1,
                allowed: error.allowed.to_owned(),
                nearest: None,
            })?;
            index += 2;
        }
    }

    fn find_rule(node: Node, segments: &[&str], start: usize) -> Result<Self, LocationError> {
        let level = node.level();
        let key = segments[start..].join("/");
        if let Some(rule) = settings_at(level).find(|rule| rule.key == key) {
            return Ok(Self::Value(node, rule));
        }
        let group = format!("{key}/");
        if settings_at(level).any(|rule| rule.key.starts_with(&group)) {
            return Ok(Self::Group(node));
        }
        let mut known: Vec<&str> = node.child_groups().to_vec();
        known.extend(settings_at(level).map(|rule| rule.key));
        let nearest = nearest(&key, &known);
        Err(LocationError {
            segment: start,
            allowed: format!("at a {level}: {}", known.join(", ")),
            nearest,
        })
    }
}

/// Returns the known key that is most like `key`, if one is alike at all.
fn nearest(key: &str, known: &[&str]) -> Option<String> {
    let mut best: Option<(f64, &str)> = None;
    for candidate in known {
        let last = candidate.rsplit('/').next().unwrap_or(candidate);
        let similarity = strsim::jaro_winkler(key, candidate).max(strsim::jaro_winkler(key, last));
        if similarity < LEAST_SIMILARITY {
            continue;
        }
        if best.is_none_or(|(found, _)| similarity > found) {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate.to_owned())
}
