//! The file format: a header line with the format version, then one frame for each commit. A frame consists of the
//! length of its JSON in bytes (4 bytes, little-endian), the XXH3-64 checksum of the JSON (8 bytes, little-endian), and
//! the JSON.

use std::io;
use wheelspread_config_transaction::Commit;
use xxhash_rust::xxh3::xxh3_64;

/// The header line without the version.
const HEADER_PREFIX: &str = "wheelspread-state ";
/// The format version that this program writes, and the newest that it reads.
pub const FORMAT_VERSION: u32 = 1;
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
const FRAME_HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;
/// The maximum length of a commit's JSON. Longer commits are not written, and a greater length in a frame header is
/// taken as damage.
const MAX_COMMIT_BYTES: usize = 64 << 20;

/// The header line of a file, with its newline.
pub(crate) fn header() -> String {
    format!("{HEADER_PREFIX}{FORMAT_VERSION}\n")
}

/// The format version in the header of a file; `None` if the header line cannot be parsed.
pub(crate) fn header_version(bytes: &[u8]) -> Option<u32> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let line = std::str::from_utf8(&bytes[..end]).ok()?;
    line.strip_prefix(HEADER_PREFIX)?.parse().ok()
}

/// Encodes a commit as one frame. Fails if its JSON is longer than [`MAX_COMMIT_BYTES`].
pub(crate) fn encode_frame(commit: &Commit) -> io::Result<Vec<u8>> {
    let json = serde_json::to_vec(commit).map_err(io::Error::other)?;
    if json.len() > MAX_COMMIT_BYTES {
        let kind = io::ErrorKind::InvalidInput;
        return Err(io::Error::new(
            kind,
            "commit exceeds the maximum length of 64 MiB",
        ));
    }
    let length = (json.len() as u32).to_le_bytes();
    Ok([&length[..], &xxh3_64(&json).to_le_bytes(), &json].concat())
}

/// The length and the checksum at the start of a frame.
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

/// The result of decoding bytes at a position where a frame is expected.
pub(crate) enum Frame {
    /// A complete frame whose checksum matches.
    Commit {
        /// The commit in the frame.
        commit: Commit,
        /// The length of the frame with its header.
        bytes: usize,
    },
    /// The beginning of a frame whose write was not completed.
    Torn,
    /// Bytes that are not a frame, or a frame whose checksum does not match.
    Damaged,
}

/// Decodes the frame at the start of `bytes`.
pub(crate) fn decode_frame(bytes: &[u8]) -> Frame {
    let Some((header, rest)) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else {
        return Frame::Torn;
    };
    let FrameHeader { length, checksum } = FrameHeader::decode(header);
    let Some(json) = rest.get(..length) else {
        // A frame that ends beyond the end of the file is an incomplete write. A corrupted length field looks the
        // same, but then valid frames may follow.
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

/// Whether a valid frame with at least one byte of JSON begins at any position in `bytes`.
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
