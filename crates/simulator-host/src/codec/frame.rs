//! Frames on the pipe: a record count and a length, then that many bytes.

use super::error::FrameError;
use std::io::{ErrorKind, Read};

/// The record count and the length, four bytes each.
const HEADER_BYTES: usize = 8;
const RECORD_COUNT_BYTES: usize = 4;

/// Reads one frame and returns the record count's bytes followed by the body, for [`Batch::parse`](super::Batch::parse);
/// `None` where the input ends between two frames.
///
/// # Errors
///
/// The input ended within a frame, or the pipe failed.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let Some(header) = read_header(input)? else {
        return Ok(None);
    };
    let (record_count, length) = header.split_at(RECORD_COUNT_BYTES);
    let mut length_bytes = [0; HEADER_BYTES - RECORD_COUNT_BYTES];
    length_bytes.copy_from_slice(length);
    let wanted = u64::from(u32::from_le_bytes(length_bytes));
    let mut frame = record_count.to_vec();
    // Grows as bytes arrive: a length that is a lie must not allocate 4 GiB.
    let received = input.take(wanted).read_to_end(&mut frame)? as u64;
    if received < wanted {
        return Err(FrameError::TruncatedBody { received, wanted });
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
                    wanted: HEADER_BYTES,
                })
            }
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(header))
}
