//! The form of the file: a header line with the version of the format, then one frame for each commit. A frame is the
//! length of its JSON (4 bytes, little-endian), the XXH3-64 of the JSON (8 bytes, little-endian), and the JSON.

use std::io;
use wheelspread_config_transaction::Commit;
use xxhash_rust::xxh3::xxh3_64;

/// The header line without the version.
const HEADER_PREFIX: &str = "wheelspread-state ";
/// The version of the format that this program writes.
pub const FORMAT_VERSION: u32 = 1;
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
const FRAME_HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;
/// The longest commit that is written or believed.
const MAX_COMMIT_BYTES: usize = 64 << 20;

/// The first line of a file.
pub(crate) fn header() -> String {
    format!("{HEADER_PREFIX}{FORMAT_VERSION}\n")
}

/// The version of the format that a file names; `None`: its first line is not readable.
pub(crate) fn header_version(bytes: &[u8]) -> Option<u32> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = std::str::from_utf8(&bytes[..end]).ok()?;
    line.strip_prefix(HEADER_PREFIX)?.parse().ok()
}

/// A commit as one frame.
pub(crate) fn encode_frame(commit: &Commit) -> io::Result<Vec<u8>> {
    let json = serde_json::to_vec(commit).map_err(io::Error::other)?;
    if json.len() > MAX_COMMIT_BYTES {
        let kind = io::ErrorKind::InvalidInput;
        return Err(io::Error::new(kind, "a commit that is too long"));
    }
    let length = (json.len() as u32).to_le_bytes();
    Ok([&length[..], &xxh3_64(&json).to_le_bytes(), &json].concat())
}

/// The first bytes of a frame.
struct FrameHeader {
    length: usize,
    checksum: u64,
}

impl FrameHeader {
    fn decode(bytes: &[u8; FRAME_HEADER_BYTES]) -> FrameHeader {
        let [l0, l1, l2, l3, c0, c1, c2, c3, c4, c5, c6, c7] = *bytes;
        FrameHeader {
            length: u32::from_le_bytes([l0, l1, l2, l3]) as usize,
            checksum: u64::from_le_bytes([c0, c1, c2, c3, c4, c5, c6, c7]),
        }
    }
}

/// What bytes begin with, where a frame is expected.
pub(crate) enum Frame {
    /// A sound frame.
    Commit {
        /// What it holds.
        commit: Commit,
        /// The length of the whole frame.
        bytes: usize,
    },
    /// The beginning of a frame that was never written to its end.
    Torn,
    /// Not a frame, or one whose checksum is wrong.
    Damaged,
}

/// Reads the frame at the beginning of these bytes.
pub(crate) fn decode_frame(bytes: &[u8]) -> Frame {
    let Some((header, rest)) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else {
        return Frame::Torn;
    };
    let FrameHeader { length, checksum } = FrameHeader::decode(header);
    let Some(json) = rest.get(..length) else {
        // A frame that ends beyond the file was never finished. A flipped length looks the same, but then other
        // frames may follow.
        let is_torn = length <= MAX_COMMIT_BYTES && !contains_frame(&bytes[1..]);
        return if is_torn { Frame::Torn } else { Frame::Damaged };
    };
    if xxh3_64(json) != checksum {
        return Frame::Damaged;
    }
    match serde_json::from_slice(json) {
        Ok(commit) => Frame::Commit {
            commit,
            bytes: FRAME_HEADER_BYTES + length,
        },
        Err(_) => Frame::Damaged,
    }
}

/// Whether a sound frame that is not empty begins anywhere in these bytes.
fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len().saturating_sub(FRAME_HEADER_BYTES)).any(|at| {
        let Some((header, rest)) = bytes[at..].split_first_chunk::<FRAME_HEADER_BYTES>() else {
            return false;
        };
        let FrameHeader { length, checksum } = FrameHeader::decode(header);
        let json = rest.get(..length).filter(|json| !json.is_empty());
        json.is_some_and(|json| xxh3_64(json) == checksum)
    })
}
