//! Deltas between two documents: a change of a few settings takes some tens of bytes.
//!
//! A delta consists of the length of the common prefix, the length of the common suffix (4 bytes each,
//! little-endian), and the bytes between the two.

use super::message::MAX_DOCUMENT;

/// Encodes the delta that turns `base` into `new`.
pub fn encode_delta(base: &[u8], new: &[u8]) -> Vec<u8> {
    let max_len = base.len().min(new.len());
    let prefix_len = base.iter().zip(new).take_while(|(a, b)| a == b).count();
    let suffix_len = base
        .iter()
        .rev()
        .zip(new.iter().rev())
        .take(max_len - prefix_len)
        .take_while(|(a, b)| a == b)
        .count();
    let mut delta = [(prefix_len as u32).to_le_bytes(), (suffix_len as u32).to_le_bytes()].concat();
    delta.extend(&new[prefix_len..new.len() - suffix_len]);
    delta
}

/// Applies a delta to `base`. Returns `None` if the delta does not fit `base` or the result exceeds
/// [`MAX_DOCUMENT`].
pub fn apply_delta(base: &[u8], delta: &[u8]) -> Option<Vec<u8>> {
    let (prefix_len, rest) = delta.split_first_chunk::<4>()?;
    let (suffix_len, middle) = rest.split_first_chunk::<4>()?;
    let (prefix_len, suffix_len) =
        (u32::from_le_bytes(*prefix_len) as usize, u32::from_le_bytes(*suffix_len) as usize);
    let suffix_start = base.len().checked_sub(suffix_len).filter(|start| *start >= prefix_len)?;
    let new = [&base[..prefix_len], middle, &base[suffix_start..]].concat();
    (new.len() <= MAX_DOCUMENT).then_some(new)
}
