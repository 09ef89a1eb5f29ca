//! Checks that each data centre belongs to one region.

use std::collections::{BTreeMap, BTreeSet};

use kqr_types::{DataCentre, Region};

use super::{Problem, SettingPath, Tree};
use crate::schema::Node;

/// Adds a problem for each additional region that contains a data centre of `nodes`.
pub(super) fn check<'tree, Nodes>(tree: &Tree, nodes: Nodes, problems: &mut Vec<Problem>)
where
    Nodes: IntoIterator<Item = &'tree Node>,
{
    let mut data_centres: BTreeMap<&DataCentre, BTreeSet<&Region>> = BTreeMap::new();
    for node in nodes {
        if let (Some(region), Some(data_centre)) = (&node.region, &node.data_centre) {
            data_centres.entry(data_centre).or_default().insert(region);
        }
    }
    if data_centres.is_empty() {
        return;
    }
    let regions = region_names(tree);
    for data_centre in data_centres.keys() {
        let mut first_region: Option<&str> = None;
        for region in &regions {
            let path = SettingPath::default().join(&format!("regions/{region}/data_centres/{data_centre}"));
            if tree.subtree(&path).next().is_none() {
                continue;
            }
            let Some(known) = first_region else {
                first_region = Some(region);
                continue;
            };
            problems.push(Problem {
                source_location: None,
                path,
                value: Some((*region).to_owned()),
                allowed: format!("{data_centre} under one region only; it is also under {known}"),
                nearest: None,
            });
        }
    }
}

fn region_names(tree: &Tree) -> BTreeSet<&str> {
    let mut names = BTreeSet::new();
    for (path, _) in tree.iter() {
        let mut segments = path.as_str().split('/');
        if segments.next() == Some("regions")
            && let Some(name) = segments.next()
        {
            names.insert(name);
        }
    }
    names
}
