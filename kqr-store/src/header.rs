use crate::StoreError;

/// Version of the file format that this program reads and writes.
pub const FORMAT_VERSION: u32 = 1;

/// Length of a file header, in bytes: magic number, format version and checksum.
pub(crate) const HEADER_BYTES: usize = 16;

const MAGIC: &[u8; 8] = b"KQRSTORE";

/// Encodes a file header.
pub(crate) fn encode_header() -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Checks the header of `bytes`, the content of `file`.
pub(crate) fn check_header(file: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let corrupt = |detail| Err(StoreError::corrupt(file, 0, detail));
    let Some(found) = bytes.get(..HEADER_BYTES) else {
        return corrupt("the file header is truncated");
    };
    if found == encode_header() {
        return Ok(());
    }
    if !found.starts_with(MAGIC) {
        return corrupt("the file header has a wrong magic number");
    }
    let (covered, checksum) = found.split_at(HEADER_BYTES - 4);
    if crc32fast::hash(covered).to_le_bytes() != checksum {
        return corrupt("checksum mismatch in the file header");
    }
    let mut version = [0; 4];
    version.copy_from_slice(&covered[MAGIC.len()..]);
    Err(StoreError::UnsupportedFormat {
        file: file.to_owned(),
        found: u32::from_le_bytes(version),
        supported: FORMAT_VERSION,
    })
}
