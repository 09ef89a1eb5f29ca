use std::collections::BTreeMap;

use kqr_types::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{CatalogError, CatalogVersion, Limits, Queue, ServicePool};

/// All queues, services and limits under one version. A catalog is always replaced as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of the catalog.
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
    /// Checks the queues against each other and against the services.
    ///
    /// # Errors
    ///
    /// Returns the first violation that is found.
    pub fn validate(&self) -> Result<(), CatalogError> {
        let mut routes = BTreeMap::new();
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
            if let Some(other) = routes.insert((&queue.host, &queue.path_prefix), &queue.name) {
                return Err(CatalogError::DuplicateRoute {
                    queue: other.clone(),
                    other: name(),
                });
            }
        }
        Ok(())
    }

    /// Returns the queue with the longest path prefix that matches `host` and `path`, and the path after the
    /// prefix.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let mut best_match: Option<(&Queue, &str)> = None;
        for queue in &self.queues {
            if !queue.host.eq_ignore_ascii_case(host) {
                continue;
            }
            let Some(rest) = path.strip_prefix(queue.path_prefix.as_str()) else {
                continue;
            };
            if best_match.is_none_or(|(best, _)| best.path_prefix.len() < queue.path_prefix.len()) {
                best_match = Some((queue, rest));
            }
        }
        best_match
    }
}
