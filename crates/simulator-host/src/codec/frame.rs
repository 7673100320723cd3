//! Reads frames: a header of record count and body length, then the body.

use super::error::FrameError;
use std::io::{ErrorKind, Read};

/// Length of the header: the record count and the body length, four bytes each.
const HEADER_BYTES: usize = 8;
/// Length of the record count, the first field of the header.
const RECORD_COUNT_BYTES: usize = 4;

/// Reads one frame and returns the bytes of the record count followed by the body, as
/// [`Batch::parse`](super::Batch::parse) takes them, or `None` if the input ends between two frames.
///
/// # Errors
///
/// Returns an error if the input ends within a frame or can't be read.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let Some(header) = read_header(input)? else {
        return Ok(None);
    };
    let (record_count, length) = header.split_at(RECORD_COUNT_BYTES);
    let mut length_bytes = [0; HEADER_BYTES - RECORD_COUNT_BYTES];
    length_bytes.copy_from_slice(length);
    let expected = u64::from(u32::from_le_bytes(length_bytes));
    let mut frame = record_count.to_vec();
    // The buffer grows as bytes arrive, so that a false length in the header can't allocate up to 4 GiB.
    let received = input.take(expected).read_to_end(&mut frame)? as u64;
    if received < expected {
        return Err(FrameError::TruncatedBody { received, expected });
    }
    Ok(Some(frame))
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, FrameError> {
    let mut header = [0; HEADER_BYTES];
    let mut received = 0;
    while received < HEADER_BYTES {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => {
                return Err(FrameError::TruncatedHeader {
                    received,
                    expected: HEADER_BYTES,
                })
            }
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(header))
}
