use std::collections::BTreeMap;

use kqr_types::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{CatalogError, CatalogVersion, Limits, Queue, ServicePool};

/// All queues, services and limits under one version. It is replaced as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version.
    pub version: CatalogVersion,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: BTreeMap<ServiceName, ServicePool>,
    /// Limits for callers.
    pub limits: Limits,
    /// The document as the operator sent it; reads return it unchanged.
    pub source: String,
}

impl Catalog {
    /// Checks the catalog as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction that is found.
    pub fn validate(&self) -> Result<(), CatalogError> {
        let mut places = BTreeMap::new();
        for queue in &self.queues {
            let name = || queue.name.clone();
            if !self.services.contains_key(&queue.service) {
                let service = queue.service.clone();
                return Err(CatalogError::UnknownService {
                    queue: name(),
                    service,
                });
            }
            if queue.timeout.is_zero() {
                return Err(CatalogError::ZeroTimeout { queue: name() });
            }
            if queue.max_attempts == 0 {
                return Err(CatalogError::ZeroAttempts { queue: name() });
            }
            if let Some(other) = places.insert((&queue.host, &queue.path_prefix), &queue.name) {
                return Err(CatalogError::DuplicateRoute {
                    queue: other.clone(),
                    other: name(),
                });
            }
        }
        Ok(())
    }

    /// Returns the queue with the longest path prefix that serves `host` and `path`, with the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let mut found: Option<(&Queue, &str)> = None;
        for queue in &self.queues {
            if !queue.host.eq_ignore_ascii_case(host) {
                continue;
            }
            let Some(rest) = path.strip_prefix(queue.path_prefix.as_str()) else {
                continue;
            };
            if found.is_none_or(|(best, _)| best.path_prefix.len() < queue.path_prefix.len()) {
                found = Some((queue, rest));
            }
        }
        found
    }
}
