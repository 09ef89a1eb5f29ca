use crate::StoreError;

/// Length of a frame header: payload length, frame number, payload checksum and header checksum, 4 bytes
/// each.
const FRAME_HEADER_BYTES: usize = 16;

/// A complete frame of a file: a payload with a checksum.
#[derive(Debug)]
pub(crate) struct Frame<'bytes> {
    /// Payload.
    pub(crate) payload: &'bytes [u8],
    /// Offset of the next frame, in bytes.
    pub(crate) end: usize,
}

/// Result of reading a frame at an offset.
#[derive(Debug)]
pub(crate) enum FrameRead<'bytes> {
    /// A complete frame.
    Complete(Frame<'bytes>),
    /// An incomplete frame, left by an interrupted write.
    Torn,
    /// The end of the file.
    EndOfFile,
}

/// Encodes the frame with the sequence number `number`.
pub(crate) fn encode_frame(number: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads the frame with the sequence number `number` at `offset`.
///
/// A crash during a write that was not synced leaves a frame that is shorter than its header says, or zeros
/// up to the end of the file; both count as torn. A complete frame with a wrong checksum was synced and has
/// been corrupted since.
pub(crate) fn read_frame<'bytes>(
    file: &str,
    bytes: &'bytes [u8],
    offset: usize,
    number: u32,
) -> Result<FrameRead<'bytes>, StoreError> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Ok(FrameRead::EndOfFile);
    }
    let Some(header) = rest.get(..FRAME_HEADER_BYTES) else {
        return Ok(FrameRead::Torn);
    };
    if rest.iter().all(|byte| *byte == 0) {
        return Ok(FrameRead::Torn);
    }
    if crc32fast::hash(&header[..12]) != read_u32(header, 12) {
        return Err(StoreError::corrupt(
            file,
            offset,
            "checksum mismatch in the frame header",
        ));
    }
    if read_u32(header, 4) != number {
        return Err(StoreError::corrupt(file, offset, "unexpected frame number"));
    }
    let end = FRAME_HEADER_BYTES + read_u32(header, 0) as usize;
    let Some(payload) = rest.get(FRAME_HEADER_BYTES..end) else {
        return Ok(FrameRead::Torn);
    };
    if crc32fast::hash(payload) != read_u32(header, 8) {
        return Err(StoreError::corrupt(
            file,
            offset,
            "checksum mismatch in the frame payload",
        ));
    }
    let end = offset + end;
    Ok(FrameRead::Complete(Frame { payload, end }))
}

fn read_u32(header: &[u8], offset: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&header[offset..offset + 4]);
    u32::from_le_bytes(bytes)
}
