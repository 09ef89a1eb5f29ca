use std::fmt;

use kqr_types::ServiceName;

/// Reason for which a catalog is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogError {
    /// A queue refers to a service that is not in the catalog.
    UnknownService {
        /// Queue.
        queue: String,
        /// Service.
        service: ServiceName,
    },
    /// Two queues have the same host and path prefix.
    DuplicateRoute {
        /// First queue.
        queue: String,
        /// Second queue.
        other: String,
    },
    /// The timeout of a queue is zero.
    ZeroTimeout {
        /// Queue.
        queue: String,
    },
    /// A queue allows no attempts.
    ZeroAttempts {
        /// Queue.
        queue: String,
    },
    /// The document can't be parsed as a catalog.
    Malformed {
        /// Description of the error.
        detail: String,
    },
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { queue, service } => {
                write!(f, "queue {queue}: unknown service {service}")
            }
            Self::DuplicateRoute { queue, other } => {
                write!(f, "queues {queue} and {other} have the same host and path prefix")
            }
            Self::ZeroTimeout { queue } => write!(f, "queue {queue}: the timeout must be greater than 0"),
            Self::ZeroAttempts { queue } => write!(f, "queue {queue}: at least 1 attempt must be allowed"),
            Self::Malformed { detail } => write!(f, "can't parse the catalog: {detail}"),
        }
    }
}

impl std::error::Error for CatalogError {}
