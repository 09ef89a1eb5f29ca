use bincode::Options;
use kqr_agreement::{DurableState, Record};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    StoreError, TornTail,
    error::Operation,
    frame::{Found, read_frame},
    header::{HEADER_BYTES, check_header},
};

/// What a log adds up to.
#[derive(Debug)]
pub(crate) struct LogContent {
    /// Length of the whole frames with the header, in bytes.
    pub(crate) length: u64,
    /// Number of the next frame.
    pub(crate) next_number: u32,
    /// What follows the whole frames.
    pub(crate) torn_tail: Option<TornTail>,
}

/// Encodes `value` as a payload.
pub(crate) fn encode<Value>(file: &str, value: &Value) -> Result<Vec<u8>, StoreError>
where
    Value: Serialize,
{
    let encoded = codec().serialize(value);
    encoded.map_err(|error| StoreError::io(Operation::Encode, file, std::io::Error::other(error)))
}

/// Reads a file that holds exactly one frame.
pub(crate) fn read_single<Value>(file: &str, bytes: &[u8]) -> Result<Value, StoreError>
where
    Value: DeserializeOwned,
{
    check_header(file, bytes)?;
    let Found::Whole(frame) = read_frame(file, bytes, HEADER_BYTES, 0)? else {
        return Err(StoreError::corrupt(file, HEADER_BYTES, "the file is cut"));
    };
    if frame.end != bytes.len() {
        return Err(StoreError::corrupt(
            file,
            frame.end,
            "something follows the record",
        ));
    }
    decode(file, HEADER_BYTES, frame.payload)
}

/// Applies the records of a log to `durable`.
pub(crate) fn read_log(
    file: &str,
    bytes: &[u8],
    durable: &mut DurableState,
) -> Result<LogContent, StoreError> {
    check_header(file, bytes)?;
    let mut offset = HEADER_BYTES;
    let mut number = 0;
    let mut torn_tail = None;
    loop {
        let frame = match read_frame(file, bytes, offset, number)? {
            Found::Whole(frame) => frame,
            Found::End => break,
            Found::Torn => {
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
    Ok(LogContent {
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
    decoded.map_err(|_| StoreError::corrupt(file, offset, "the record can't be decoded"))
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new()
}
