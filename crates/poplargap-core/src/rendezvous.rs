//! Rendezvous hashing: every process computes the same ranking of members for a key.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.

use {std::cmp::Reverse, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Returns the score of `member` for `key`; members rank by descending score.
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Returns the highest-ranked member for `key`, or `None` without members.
pub fn first<'a, T, I>(key: &str, members: I) -> Option<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    members.into_iter().max_by(|a, b| {
        let (a, b) = (a.as_ref(), b.as_ref());
        score(key, a).cmp(&score(key, b)).then_with(|| a.cmp(b))
    })
}

/// Returns the members in descending order of their scores for `key`.
pub fn ranking<'a, T, I>(key: &str, members: I) -> Vec<&'a T>
where
    T: AsRef<str> + ?Sized + 'a,
    I: IntoIterator<Item = &'a T>,
{
    let mut members: Vec<&T> = members.into_iter().collect();
    members.sort_by_cached_key(|member| {
        let member = member.as_ref();
        Reverse((score(key, member), member.to_owned()))
    });
    members
}
