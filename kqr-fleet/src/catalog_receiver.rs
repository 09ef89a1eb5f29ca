use std::io;

use crate::{Catalog, CatalogPart, CatalogProgress, CatalogVersion, PackedCatalog};

/// Receiving side of a catalog that arrives in parts.
#[derive(Clone, Debug, Default)]
pub struct CatalogReceiver {
    version: CatalogVersion,
    bytes: Vec<u8>,
}

impl CatalogReceiver {
    /// Returns how much has been received, or `None` if no catalog is being received.
    pub fn progress(&self) -> Option<CatalogProgress> {
        (!self.bytes.is_empty()).then_some(CatalogProgress {
            version: self.version,
            received: self.bytes.len() as u32,
        })
    }

    /// Adds a part. Returns the catalog once it is complete. A part of another catalog begins anew.
    ///
    /// # Errors
    ///
    /// Fails if the complete catalog can't be unpacked.
    pub fn add(&mut self, part: CatalogPart) -> io::Result<Option<Catalog>> {
        if part.offset == 0 {
            self.version = part.version;
            self.bytes.clear();
        }
        if part.version != self.version || part.offset as usize != self.bytes.len() {
            self.bytes.clear();
            return Ok(None);
        }
        self.bytes.extend(part.bytes);
        if !part.is_last {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.bytes);
        PackedCatalog::from_bytes(self.version, bytes).unpack().map(Some)
    }
}
