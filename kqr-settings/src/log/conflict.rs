use super::{Change, Edit};
use crate::{schema::Location, tree::SettingPath};

/// Returns a path of `change` that conflicts with `edits`, if there is one.
///
/// Changes conflict if both affect the same node, such as two settings of one target, or if `edits` remove a
/// subtree that `change` affects. A removal in `change` lists each removed value. Changes to a node and to
/// one of its descendants do not conflict.
pub(super) fn find_conflict(edits: &[Edit], change: &Change) -> Option<SettingPath> {
    for edit in edits {
        let is_removal = edit.value.is_none();
        let node = node_path(&edit.path);
        for other in &change.edits {
            let is_removed = is_removal && edit.path.covers(&other.path);
            if is_removed || node_path(&other.path) == node {
                return Some(other.path.clone());
            }
        }
    }
    None
}

/// Returns the path of the node that contains `path`, or `path` itself if it is invalid.
fn node_path(path: &SettingPath) -> SettingPath {
    match Location::find(&path.segments()) {
        Ok(Location::Node(node) | Location::Value(node, _) | Location::Group(node)) => SettingPath::of(&node),
        Err(_) => path.clone(),
    }
}
