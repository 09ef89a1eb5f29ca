//! Lists the targets that the settings name, or renames one.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use kqr_settings::{
    Action, Edit, ResolvedSettings, SettingPath, TargetNames, Version,
    schema::{Location, Node},
};
use kqr_types::{ServiceName, TargetId};
use serde::Serialize;

pub use crate::Failure as Error;
use crate::{Accepted, ChangeOptions, Connection, Snapshot, submit};

/// What is listed or renamed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Renames the target: its first name or a later one, and the service that it belongs to.
    #[arg(long, value_name = "NAME", requires_all = ["to", "service"])]
    pub rename: Option<TargetId>,
    /// New name of the renamed target.
    #[arg(long, value_name = "NAME")]
    pub to: Option<TargetId>,
    /// Service of the renamed target.
    #[arg(long)]
    pub service: Option<ServiceName>,
    /// What all changes have in common.
    #[command(flatten)]
    pub change: ChangeOptions,
}

/// One target that the settings name.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    /// First name, which is its identity.
    pub identity: TargetId,
    /// Present name.
    pub present_name: TargetId,
    /// All names that resolve to it, oldest first.
    pub names: Vec<TargetId>,
    /// Paths under which it has settings, with whether it is drained there.
    pub places: BTreeMap<SettingPath, bool>,
}

/// The targets, or the accepted rename.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Version that is shown.
    pub version: Version,
    /// Targets by identity.
    pub targets: Vec<Target>,
    /// The accepted rename.
    pub accepted: Option<Accepted>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(accepted) = &self.accepted {
            return accepted.fmt(f);
        }
        for target in &self.targets {
            write!(f, "{}", target.present_name)?;
            if target.present_name != target.identity {
                write!(f, " (first name {})", target.identity)?;
            }
            writeln!(f)?;
            for (path, is_draining) in &target.places {
                let state = if *is_draining { "drained" } else { "in use" };
                writeln!(f, "    {path}: {state}")?;
            }
        }
        Ok(())
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the settings can't be read or the rename is not accepted.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let snapshot = connection.tree(None).await?;
    let accepted = match (&options.rename, &options.to, &options.service) {
        (Some(name), Some(to), Some(service)) => {
            let edit = rename(&snapshot, name, to, service);
            let action = Action::Edit(vec![edit]);
            Some(submit(connection, &options.change, Some(snapshot.version), action).await?)
        }
        _ => None,
    };
    Ok(Outcome {
        version: snapshot.version,
        targets: list(&snapshot),
        accepted,
    })
}

fn rename(snapshot: &Snapshot, name: &TargetId, to: &TargetId, service: &ServiceName) -> Edit {
    let index = TargetNames::of(&snapshot.tree);
    let identity = index.identity(name);
    let node = Node {
        service: Some(service.clone()),
        target: Some(identity.clone()),
        ..Node::default()
    };
    let mut names = String::new();
    for known in index.aliases(identity) {
        names.push_str(known.as_str());
        names.push(' ');
    }
    names.push_str(to.as_str());
    Edit {
        path: SettingPath::of(&node).join("names"),
        value: Some(names),
    }
}

fn list(snapshot: &Snapshot) -> Vec<Target> {
    let index = TargetNames::of(&snapshot.tree);
    let mut nodes: BTreeMap<TargetId, BTreeSet<Node>> = BTreeMap::new();
    for (path, _) in snapshot.tree.iter() {
        let Ok(Location::Value(node, _)) = Location::find(&path.segments()) else {
            continue;
        };
        let Some(target) = node.target.clone() else {
            continue;
        };
        nodes.entry(target).or_default().insert(node);
    }
    let mut targets = Vec::with_capacity(nodes.len());
    for (identity, nodes) in nodes {
        let mut places = BTreeMap::new();
        for node in nodes {
            let is_draining = ResolvedSettings::of(&snapshot.tree, &node).service.is_draining.0;
            places.insert(SettingPath::of(&node), is_draining);
        }
        let mut names = vec![identity.clone()];
        names.extend(index.aliases(&identity).iter().cloned());
        targets.push(Target {
            present_name: index.current_name(&identity).clone(),
            identity,
            names,
            places,
        });
    }
    targets
}
