use bincode::Options;
use kqr_agreement::{DurableState, Record};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    StoreError, TornTail,
    error::Operation,
    frame::{FrameRead, read_frame},
    header::{HEADER_BYTES, check_header},
};

/// Result of replaying a log.
#[derive(Debug)]
pub(crate) struct ReplayedLog {
    /// Length of the file header and all complete frames, in bytes.
    pub(crate) length: u64,
    /// Sequence number of the next frame.
    pub(crate) next_number: u32,
    /// Incomplete frame after the complete ones, if any.
    pub(crate) torn_tail: Option<TornTail>,
}

/// Encodes `value` as the payload of a frame of `file`.
pub(crate) fn encode<Value>(file: &str, value: &Value) -> Result<Vec<u8>, StoreError>
where
    Value: Serialize,
{
    let encoded = codec().serialize(value);
    encoded.map_err(|error| StoreError::io(Operation::Encode, file, std::io::Error::other(error)))
}

/// Decodes `bytes`, the content of a `file` that holds exactly one frame.
pub(crate) fn read_single_frame<Value>(file: &str, bytes: &[u8]) -> Result<Value, StoreError>
where
    Value: DeserializeOwned,
{
    check_header(file, bytes)?;
    let FrameRead::Complete(frame) = read_frame(file, bytes, HEADER_BYTES, 0)? else {
        return Err(StoreError::corrupt(file, HEADER_BYTES, "the file is truncated"));
    };
    if frame.end != bytes.len() {
        return Err(StoreError::corrupt(
            file,
            frame.end,
            "unexpected bytes after the only frame",
        ));
    }
    decode(file, HEADER_BYTES, frame.payload)
}

/// Applies the records of the log `bytes` to `durable`.
pub(crate) fn replay_log(
    file: &str,
    bytes: &[u8],
    durable: &mut DurableState,
) -> Result<ReplayedLog, StoreError> {
    check_header(file, bytes)?;
    let mut offset = HEADER_BYTES;
    let mut number = 0;
    let mut torn_tail = None;
    loop {
        let frame = match read_frame(file, bytes, offset, number)? {
            FrameRead::Complete(frame) => frame,
            FrameRead::EndOfFile => break,
            FrameRead::Torn => {
                torn_tail = Some(TornTail {
                    file: file.to_owned(),
                    offset: offset as u64,
                    bytes: (bytes.len() - offset) as u64,
                });
                break;
            }
        };
        let records: Vec<Record> = decode(file, offset, frame.payload)?;
        for record in records {
            durable.apply(record);
        }
        offset = frame.end;
        number += 1;
    }
    Ok(ReplayedLog {
        length: offset as u64,
        next_number: number,
        torn_tail,
    })
}

fn decode<Value>(file: &str, offset: usize, payload: &[u8]) -> Result<Value, StoreError>
where
    Value: DeserializeOwned,
{
    let decoded = codec().deserialize(payload);
    decoded.map_err(|_| StoreError::corrupt(file, offset, "the payload can't be decoded"))
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}
