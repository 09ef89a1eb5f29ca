use super::{Change, Edit};
use crate::{schema::Location, tree::SettingPath};

/// Returns the path that both `edits` and `change` touch, if there is one.
///
/// Two changes collide if they touch the same node, such as two settings of one target, or if one removes a subtree
/// that the other touches. A change of a node and one of a node below it do not collide.
pub(super) fn find_conflict(edits: &[Edit], change: &Change) -> Option<SettingPath> {
    for edit in edits {
        let is_removal = edit.value.is_none();
        let own = node_path(&edit.path);
        for other in &change.edits {
            let is_below = is_removal && edit.path.covers(&other.path);
            if is_below || node_path(&other.path) == own {
                return Some(other.path.clone());
            }
        }
    }
    None
}

fn node_path(path: &SettingPath) -> SettingPath {
    match Location::find(&path.segments()) {
        Ok(Location::Node(node) | Location::Value(node, _) | Location::Group(node)) => SettingPath::of(&node),
        Err(_) => path.clone(),
    }
}
