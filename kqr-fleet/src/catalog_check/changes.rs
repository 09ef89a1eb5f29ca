use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::Serialize;

use crate::{Catalog, Limits, Queue, ServicePool};

/// Difference between the catalog in force and one that is to replace it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CatalogChange {
    /// Entry of the catalog.
    pub subject: String,
    /// Field, or `None` if the whole entry is added or removed.
    pub field: Option<&'static str>,
    /// Value in force, or `None` if there is none.
    pub from: Option<String>,
    /// New value, or `None` if there is none.
    pub to: Option<String>,
}

impl fmt::Display for CatalogChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            subject, from, to, ..
        } = self;
        let field = self.field.map(|field| format!(" {field}")).unwrap_or_default();
        match (from, to) {
            (None, Some(to)) => write!(f, "added: {subject}{field}: {to}"),
            (Some(from), None) => write!(f, "removed: {subject}{field}: {from}"),
            (from, to) => {
                let text = |value: &Option<String>| value.clone().unwrap_or_default();
                write!(f, "changed: {subject}{field}: {} -> {}", text(from), text(to))
            }
        }
    }
}

/// Fields of an entry by name.
type Fields = Vec<(&'static str, String)>;

/// Returns the differences between `in_force` and `new`. Queues and services are identified by their names.
pub fn changes(in_force: &Catalog, new: &Catalog) -> Vec<CatalogChange> {
    let mut changes = Vec::new();
    compare("", &version_entry(in_force), &version_entry(new), &mut changes);
    compare("queue ", &queues(in_force), &queues(new), &mut changes);
    compare("service ", &services(in_force), &services(new), &mut changes);
    compare("", &limits(&in_force.limits), &limits(&new.limits), &mut changes);
    changes
}

fn compare(
    kind: &str,
    in_force: &BTreeMap<String, Fields>,
    new: &BTreeMap<String, Fields>,
    changes: &mut Vec<CatalogChange>,
) {
    let names: BTreeSet<&String> = in_force.keys().chain(new.keys()).collect();
    for name in names {
        let subject = format!("{kind}{name}");
        let (Some(from), Some(to)) = (in_force.get(name), new.get(name)) else {
            changes.push(CatalogChange {
                subject,
                field: None,
                from: in_force.get(name).map(describe),
                to: new.get(name).map(describe),
            });
            continue;
        };
        for ((field, from), (_, to)) in from.iter().zip(to) {
            if from == to {
                continue;
            }
            changes.push(CatalogChange {
                subject: subject.clone(),
                field: Some(field),
                from: Some(from.clone()),
                to: Some(to.clone()),
            });
        }
    }
}

fn describe(fields: &Fields) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    fields.join(", ")
}

fn version_entry(catalog: &Catalog) -> BTreeMap<String, Fields> {
    let fields = vec![("number", catalog.version.to_string())];
    BTreeMap::from([("version".to_owned(), fields)])
}

fn queues(catalog: &Catalog) -> BTreeMap<String, Fields> {
    let queues = catalog.queues.iter();
    queues
        .map(|queue| (queue.name.clone(), queue_fields(queue)))
        .collect()
}

fn queue_fields(queue: &Queue) -> Fields {
    vec![
        ("host", queue.host.clone()),
        ("path prefix", queue.path_prefix.clone()),
        ("service", queue.service.to_string()),
        ("priority", queue.priority.to_string()),
        ("attempts", queue.max_attempts.to_string()),
        ("slack factor", queue.slack_factor.to_string()),
        ("latency objective in ms", queue.objective.as_millis().to_string()),
        ("timeout in ms", queue.timeout.as_millis().to_string()),
    ]
}

fn services(catalog: &Catalog) -> BTreeMap<String, Fields> {
    let services = catalog.services.iter();
    services
        .map(|(name, pool)| (name.to_string(), service_fields(pool)))
        .collect()
}

fn service_fields(pool: &ServicePool) -> Fields {
    vec![
        ("connections to a target", pool.max_connections.to_string()),
        ("enforces capacity", pool.enforces_capacity.to_string()),
        ("standby", pool.is_standby.to_string()),
    ]
}

fn limits(limits: &Limits) -> BTreeMap<String, Fields> {
    let fields = vec![
        ("body in bytes", limits.body_bytes.to_string()),
        ("head timeout in ms", limits.head_timeout.as_millis().to_string()),
        ("idle timeout in ms", limits.idle_timeout.as_millis().to_string()),
    ];
    BTreeMap::from([("limits".to_owned(), fields)])
}
