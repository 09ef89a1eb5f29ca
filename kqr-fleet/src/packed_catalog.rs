use std::io::{self, Read};

use flate2::{Compression, read::DeflateDecoder, read::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::{Catalog, CatalogPart, CatalogProgress, CatalogVersion};

/// Maximum size of a part: it passes a link of 2 Mbit/s in less than a tenth of a second.
const MAX_PART_BYTES: usize = 16 << 10;
/// Maximum size of a decoded catalog.
const MAX_CATALOG_BYTES: u64 = 32 << 20;

/// A catalog in compressed form. The names of hosts, paths and services repeat, so that a long catalog shrinks to a
/// fraction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedCatalog {
    version: CatalogVersion,
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl PackedCatalog {
    /// Packs a catalog.
    ///
    /// # Errors
    ///
    /// Fails if the catalog can't be encoded.
    pub fn pack(catalog: &Catalog) -> io::Result<Self> {
        let encoded = bincode::serialize(catalog).map_err(io::Error::other)?;
        let mut bytes = Vec::new();
        DeflateEncoder::new(encoded.as_slice(), Compression::default()).read_to_end(&mut bytes)?;
        Ok(Self {
            version: catalog.version,
            bytes,
        })
    }

    /// Packs what an entry needs of a catalog: all but the operator's document.
    ///
    /// # Errors
    ///
    /// Fails if the catalog can't be encoded.
    pub fn pack_for_entry(catalog: &Catalog) -> io::Result<Self> {
        let reduced = Catalog {
            source: String::new(),
            ..catalog.clone()
        };
        Self::pack(&reduced)
    }

    /// Unpacks the catalog.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a packed catalog.
    pub fn unpack(&self) -> io::Result<Catalog> {
        let mut encoded = Vec::new();
        let decoder = DeflateDecoder::new(self.bytes.as_slice());
        decoder.take(MAX_CATALOG_BYTES).read_to_end(&mut encoded)?;
        bincode::deserialize(&encoded).map_err(io::Error::other)
    }

    /// Returns the version of the catalog.
    pub const fn version(&self) -> CatalogVersion {
        self.version
    }

    /// Returns the size of the packed catalog, in bytes.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the part that follows those that an entry has received.
    pub(crate) fn part_after(&self, progress: Option<CatalogProgress>) -> CatalogPart {
        let own = progress.filter(|progress| progress.version == self.version);
        let offset = own.map_or(0, |progress| progress.received as usize);
        let rest = self.bytes.get(offset..).unwrap_or_default();
        let part = rest.get(..MAX_PART_BYTES).unwrap_or(rest);
        CatalogPart {
            version: self.version,
            offset: offset as u32,
            bytes: part.to_vec(),
            is_last: part.len() == rest.len(),
        }
    }

    /// Creates a packed catalog from received bytes.
    pub(crate) const fn from_bytes(version: CatalogVersion, bytes: Vec<u8>) -> Self {
        Self { version, bytes }
    }
}
