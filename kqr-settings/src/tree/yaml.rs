use std::{collections::BTreeMap, fmt};

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;

use super::{Problem, Problems, SettingPath, Tree, canonical_value};

/// One value of a settings document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Path of the value.
    pub path: SettingPath,
    /// Canonical text of the value.
    pub value: String,
}

/// Parsed YAML node. Keys carry their source locations.
enum YamlNode {
    Map(Vec<(Spanned<String>, YamlNode)>),
    Text(String),
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = YamlNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a mapping, a value or a list of names")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(value.to_string()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(value.to_string()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(value.to_string()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(value.to_string()))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(value.to_owned()))
    }

    fn visit_unit<E: Error>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Text(String::new()))
    }

    fn visit_seq<Items: SeqAccess<'de>>(self, mut items: Items) -> Result<YamlNode, Items::Error> {
        let mut names: Vec<String> = Vec::new();
        while let Some(name) = items.next_element()? {
            names.push(name);
        }
        Ok(YamlNode::Text(names.join(" ")))
    }

    fn visit_map<Entries: MapAccess<'de>>(self, mut entries: Entries) -> Result<YamlNode, Entries::Error> {
        let mut children = Vec::new();
        while let Some(key) = entries.next_key::<Spanned<String>>()? {
            children.push((key, entries.next_value()?));
        }
        Ok(YamlNode::Map(children))
    }
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<De: Deserializer<'de>>(deserializer: De) -> Result<Self, De::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

/// Parses the values of the YAML document `text`; problems refer to it as `source_name`.
///
/// # Errors
///
/// Returns all problems if the text is not valid YAML, or contains keys or values that are not allowed.
pub fn from_yaml(source_name: &str, text: &str) -> Result<Vec<Leaf>, Problems> {
    let node: YamlNode = serde_saphyr::from_str(text).map_err(|error| {
        Problems(vec![Problem {
            source_location: Some(source_name.to_owned()),
            path: SettingPath::default(),
            value: None,
            allowed: format!("valid YAML ({error})"),
            nearest: None,
        }])
    })?;
    let mut collector = LeafCollector {
        source_name,
        leaves: Vec::new(),
        problems: Vec::new(),
    };
    collector.collect(&SettingPath::default(), &node, 1);
    if collector.problems.is_empty() {
        Ok(collector.leaves)
    } else {
        Err(Problems(collector.problems))
    }
}

/// Collector of the values and problems of a YAML document.
struct LeafCollector<'text> {
    source_name: &'text str,
    leaves: Vec<Leaf>,
    problems: Vec<Problem>,
}

impl LeafCollector<'_> {
    fn collect(&mut self, path: &SettingPath, node: &YamlNode, line: u64) {
        match node {
            YamlNode::Text(value) => self.collect_value(path, value, line),
            YamlNode::Map(children) => {
                for (key, child) in children {
                    self.collect(&path.join(&key.value), child, key.referenced.line());
                }
            }
        }
    }

    fn collect_value(&mut self, path: &SettingPath, value: &str, line: u64) {
        match canonical_value(path, value) {
            Ok(value) => self.leaves.push(Leaf {
                path: path.clone(),
                value,
            }),
            Err(mut problem) => {
                problem.source_location = Some(format!("{}:{line}", self.source_name));
                self.problems.push(problem);
            }
        }
    }
}

/// Node of a YAML document to be serialized.
#[derive(Serialize)]
#[serde(untagged)]
enum SerializedNode<'tree> {
    Map(BTreeMap<&'tree str, SerializedNode<'tree>>),
    Text(&'tree str),
}

/// Serializes the values at and below `path` as a YAML document that [`from_yaml`] accepts.
///
/// # Errors
///
/// Returns an error if the YAML library can't serialize the values.
pub fn to_yaml(tree: &Tree, path: &SettingPath) -> Result<String, serde_saphyr::ser::Error> {
    let mut root = BTreeMap::new();
    for (path, value) in tree.subtree(path) {
        insert(&mut root, &path.segments(), value);
    }
    serde_saphyr::to_string(&SerializedNode::Map(root))
}

fn insert<'tree>(
    map: &mut BTreeMap<&'tree str, SerializedNode<'tree>>,
    segments: &[&'tree str],
    value: &'tree str,
) {
    let Some((first, rest)) = segments.split_first() else {
        return;
    };
    if rest.is_empty() {
        map.insert(first, SerializedNode::Text(value));
        return;
    }
    let child = map
        .entry(first)
        .or_insert_with(|| SerializedNode::Map(BTreeMap::new()));
    if let SerializedNode::Map(child) = child {
        insert(child, rest, value);
    }
}
