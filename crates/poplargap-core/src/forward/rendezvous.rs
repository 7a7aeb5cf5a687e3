//! Rendezvous hashing (Thaler and Ravishankar, 1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a member in the order of `key`; the member with the highest score is first.
///
/// All daemons compute the same order, and a member that joins or leaves moves only its own share
/// of the keys.
pub(super) fn score(member: &[u8], key: u64) -> u64 {
    xxh3_64_with_seed(member, key)
}
