use std::fmt;

use kqr_types::ServiceName;

/// Why a catalog is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatalogError {
    /// A queue names a service that the catalog lacks.
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
    /// A queue allows no time for an answer.
    ZeroTimeout {
        /// Queue.
        queue: String,
    },
    /// A queue allows no attempt.
    ZeroAttempts {
        /// Queue.
        queue: String,
    },
    /// The document can't be read as a catalog.
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { queue, service } => {
                write!(f, "queue {queue}: there is no service {service}")
            }
            Self::DuplicateRoute { queue, other } => {
                write!(f, "queues {queue} and {other} have the same host and path prefix")
            }
            Self::ZeroTimeout { queue } => write!(f, "queue {queue}: the timeout is 0"),
            Self::ZeroAttempts { queue } => write!(f, "queue {queue}: no attempt is allowed"),
            Self::Malformed { detail } => write!(f, "the document can't be read: {detail}"),
        }
    }
}

impl std::error::Error for CatalogError {}
