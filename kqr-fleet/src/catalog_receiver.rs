use std::io;

use crate::{Catalog, CatalogPart, CatalogProgress, CatalogVersion, PackedCatalog};

/// Receiving side of a catalog that arrives in parts.
#[derive(Clone, Debug, Default)]
pub struct CatalogReceiver {
    /// The catalog of which some parts have arrived, but not the last one.
    partial: Option<PartialCatalog>,
}

#[derive(Clone, Debug)]
struct PartialCatalog {
    version: CatalogVersion,
    bytes: Vec<u8>,
}

impl CatalogReceiver {
    /// Returns how much has been received, or `None` if no catalog is being received.
    pub fn progress(&self) -> Option<CatalogProgress> {
        self.partial.as_ref().map(|partial| CatalogProgress {
            version: partial.version,
            received: partial.bytes.len() as u32,
        })
    }

    /// Adds a part. Returns the catalog once it is complete. A part of another catalog begins anew.
    ///
    /// # Errors
    ///
    /// Fails if the complete catalog can't be unpacked.
    pub fn add(&mut self, part: CatalogPart) -> io::Result<Option<Catalog>> {
        let received = self.partial.take();
        let version = part.version;
        let mut bytes = match received {
            _ if part.offset == 0 => Vec::new(),
            Some(partial) if partial.version == version && partial.bytes.len() == part.offset as usize => {
                partial.bytes
            }
            _ => return Ok(None),
        };
        bytes.extend(part.bytes);
        if part.is_last {
            return PackedCatalog::from_bytes(version, bytes).unpack().map(Some);
        }
        self.partial = Some(PartialCatalog { version, bytes });
        Ok(None)
    }
}
