//! Deltas between two documents: a change of a few settings is sent in some tens of bytes.
//!
//! A delta is the number of bytes kept at the front, the number kept at the end (both 4 bytes, little-endian), and what stands between.

use super::message::MAX_DOCUMENT;

/// The delta that makes `new` of `base`.
pub fn encode_delta(base: &[u8], new: &[u8]) -> Vec<u8> {
    let most = base.len().min(new.len());
    let front = base.iter().zip(new).take_while(|(a, b)| a == b).count();
    let back = base.iter().rev().zip(new.iter().rev()).take(most - front).take_while(|(a, b)| a == b).count();
    let mut delta = [(front as u32).to_le_bytes(), (back as u32).to_le_bytes()].concat();
    delta.extend(&new[front..new.len() - back]);
    delta
}

/// The document that a delta makes of `base`; none where the two don't fit.
pub fn apply_delta(base: &[u8], delta: &[u8]) -> Option<Vec<u8>> {
    let (front, rest) = delta.split_first_chunk::<4>()?;
    let (back, between) = rest.split_first_chunk::<4>()?;
    let (front, back) = (u32::from_le_bytes(*front) as usize, u32::from_le_bytes(*back) as usize);
    let back_start = base.len().checked_sub(back).filter(|start| *start >= front)?;
    let new = [&base[..front], between, &base[back_start..]].concat();
    (new.len() <= MAX_DOCUMENT).then_some(new)
}
