use crate::StoreError;

/// Version of the files that this program reads and writes.
pub const FORMAT_VERSION: u32 = 1;

/// Length of a file's header, in bytes.
pub(crate) const HEADER_BYTES: usize = 16;

const MAGIC: &[u8; 8] = b"KQRSTORE";

/// Returns the header of a file.
pub(crate) fn header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Checks the header of `file` with the content `bytes`.
pub(crate) fn check_header(file: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let corrupt = |detail| Err(StoreError::corrupt(file, 0, detail));
    let Some(found) = bytes.get(..HEADER_BYTES) else {
        return corrupt("the header is cut");
    };
    if found == header() {
        return Ok(());
    }
    if !found.starts_with(MAGIC) {
        return corrupt("the header is not of this program");
    }
    let (signed, checksum) = found.split_at(HEADER_BYTES - 4);
    if crc32fast::hash(signed).to_le_bytes() != checksum {
        return corrupt("the header's checksum differs");
    }
    let mut version = [0; 4];
    version.copy_from_slice(&signed[MAGIC.len()..]);
    Err(StoreError::UnsupportedFormat {
        file: file.to_owned(),
        found: u32::from_le_bytes(version),
        supported: FORMAT_VERSION,
    })
}
