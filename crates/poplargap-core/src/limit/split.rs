//! Division of a class's limits among data centres.

use {
    super::Allowance,
    crate::{
        catalogue::LimitSet,
        name::{ClassName, DataCentre},
        rendezvous,
    },
};

/// Returns the share of `centre` in the limits of `class`; it depends only on the catalogue.
///
/// The limit is divided evenly; the remainder is given to the data centres that rank first for the
/// class. A data centre's share never falls when the limit rises, so that shares computed from two
/// versions of the class add up to no more than the larger limit. Versions with different sets of
/// data centres don't have that property.
#[must_use]
pub fn base_share<'a>(
    limits: &LimitSet,
    class: &ClassName,
    centre: &DataCentre,
    centres: impl IntoIterator<Item = &'a DataCentre>,
) -> Allowance {
    let ranking = rendezvous::ranking(class.as_str(), centres);
    let Some(rank) = ranking.iter().position(|member| *member == centre) else {
        return Allowance::ZERO;
    };
    let (rank, count) = (rank as u64, ranking.len() as u64);
    let part = |limit: u64| limit / count + u64::from(rank < limit % count);
    let limits = Allowance::of_limits(limits);
    Allowance {
        concurrency: part(limits.concurrency),
        requests: part(limits.requests),
        tokens: part(limits.tokens),
    }
}
