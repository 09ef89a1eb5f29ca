use kqr_types::{DataCentre, ParseError, Region, ServiceName, TargetId, TeamName};

use super::{Level, SettingSpec, settings_at};

/// A node of the settings tree, identified by the names on its path.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Node {
    /// Region that contains the node, or that it is.
    pub region: Option<Region>,
    /// Data centre that contains the node, or that it is.
    pub data_centre: Option<DataCentre>,
    /// Service that contains the node, or that it is.
    pub service: Option<ServiceName>,
    /// Target, for a target node.
    pub target: Option<TargetId>,
    /// Team, for a team node.
    pub team: Option<TeamName>,
}

/// What a path of the settings tree refers to.
#[derive(Debug)]
pub enum Location {
    /// A node.
    Node(Node),
    /// A value of a node.
    Value(Node, &'static SettingSpec),
    /// A group of values or of child nodes, such as `limits` or `services`, with the node that contains it.
    Group(Node),
}

/// Error that is returned for a path with a segment that is not allowed at its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocationError {
    /// Zero-based index of the invalid segment.
    pub segment: usize,
    /// Description of what is allowed at this position.
    pub allowed: String,
    /// Known key that is most similar to the given one, as a suggestion.
    pub nearest: Option<String>,
}

/// Minimum Jaro-Winkler similarity, from 0 to 1, of a known key that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

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

    /// Returns the keys of the groups that contain the child nodes of this node.
    fn child_groups(&self) -> &'static [&'static str] {
        match self.level() {
            Level::Root => &["regions", "services", "teams"],
            Level::Region => &["data_centres", "services", "teams"],
            Level::DataCentre => &["services", "teams"],
            Level::Service => &["targets"],
            Level::Target | Level::Team => &[],
        }
    }

    /// Returns the child node `name` of `group`, which must be one of [`Node::child_groups`].
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
    /// Returns what the segments of a path refer to.
    ///
    /// # Errors
    ///
    /// Returns an error if a segment is not a key that is allowed at its position, or not a valid name.
    pub fn find(segments: &[&str]) -> Result<Self, LocationError> {
        let mut node = Node::default();
        let mut index = 0;
        loop {
            let Some(&key) = segments.get(index) else {
                return Ok(Self::Node(node));
            };
            if !node.child_groups().contains(&key) {
                return Self::find_setting(node, segments, index);
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

    fn find_setting(node: Node, segments: &[&str], start: usize) -> Result<Self, LocationError> {
        let level = node.level();
        let key = segments[start..].join("/");
        if let Some(spec) = settings_at(level).find(|spec| spec.key == key) {
            return Ok(Self::Value(node, spec));
        }
        let group = format!("{key}/");
        if settings_at(level).any(|spec| spec.key.starts_with(&group)) {
            return Ok(Self::Group(node));
        }
        let mut known: Vec<&str> = node.child_groups().to_vec();
        known.extend(settings_at(level).map(|spec| spec.key));
        let nearest = nearest_key(&key, &known);
        Err(LocationError {
            segment: start,
            allowed: format!("at a {level}: {}", known.join(", ")),
            nearest,
        })
    }
}

/// Returns the known key that is most similar to `key`, if one reaches [`MIN_SIMILARITY`].
///
/// A known key is compared both as a whole and by its last segment.
fn nearest_key(key: &str, known: &[&str]) -> Option<String> {
    let mut best: Option<(f64, &str)> = None;
    for candidate in known {
        let last_segment = candidate.rsplit('/').next().unwrap_or(candidate);
        let similarity = strsim::jaro_winkler(key, candidate).max(strsim::jaro_winkler(key, last_segment));
        if similarity < MIN_SIMILARITY {
            continue;
        }
        if best.is_none_or(|(highest, _)| similarity > highest) {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate.to_owned())
}
