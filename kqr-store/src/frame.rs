use crate::StoreError;

/// Length of a frame's head: length, number, checksum of the payload, checksum of the head.
const HEAD_BYTES: usize = 16;

/// A checksummed part of a file.
#[derive(Debug)]
pub(crate) struct Frame<'bytes> {
    /// Content.
    pub(crate) payload: &'bytes [u8],
    /// Where the next frame begins, in bytes.
    pub(crate) end: usize,
}

/// What stands at a place of a file.
#[derive(Debug)]
pub(crate) enum Found<'bytes> {
    /// A whole frame.
    Whole(Frame<'bytes>),
    /// The begin of a frame whose writing was cut off.
    Torn,
    /// Nothing: the file ends.
    End,
}

/// Returns the frame of number `number` with `payload`.
pub(crate) fn encode_frame(number: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD_BYTES + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads the frame of number `number` at `offset`.
///
/// A frame that is shorter than its head says, or zeros up to the end, is what a crash leaves of a write that was not
/// synced. A whole frame whose checksum differs was synced and is damaged.
pub(crate) fn read_frame<'bytes>(
    file: &str,
    bytes: &'bytes [u8],
    offset: usize,
    number: u32,
) -> Result<Found<'bytes>, StoreError> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Ok(Found::End);
    }
    let Some(head) = rest.get(..HEAD_BYTES) else {
        return Ok(Found::Torn);
    };
    if rest.iter().all(|byte| *byte == 0) {
        return Ok(Found::Torn);
    }
    if crc32fast::hash(&head[..12]) != word(head, 12) {
        return Err(StoreError::corrupt(file, offset, "the head's checksum differs"));
    }
    if word(head, 4) != number {
        return Err(StoreError::corrupt(file, offset, "the record's number differs"));
    }
    let end = HEAD_BYTES + word(head, 0) as usize;
    let Some(payload) = rest.get(HEAD_BYTES..end) else {
        return Ok(Found::Torn);
    };
    if crc32fast::hash(payload) != word(head, 8) {
        return Err(StoreError::corrupt(file, offset, "the record's checksum differs"));
    }
    let end = offset + end;
    Ok(Found::Whole(Frame { payload, end }))
}

fn word(head: &[u8], at: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&head[at..at + 4]);
    u32::from_le_bytes(bytes)
}
