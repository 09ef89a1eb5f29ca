use serde::{Deserialize, Serialize};

use crate::CatalogVersion;

/// Part of a packed catalog. Parts are requested one at a time, so that the exchange with control goes on while a long
/// catalog passes a slow link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogPart {
    /// Version of the catalog.
    pub version: CatalogVersion,
    /// Position of the part in the packed catalog.
    pub offset: u32,
    /// Content of the part.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether the catalog ends with this part.
    pub is_last: bool,
}

/// How much of a packed catalog an entry has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogProgress {
    /// Version of the catalog.
    pub version: CatalogVersion,
    /// Number of received bytes.
    pub received: u32,
}
