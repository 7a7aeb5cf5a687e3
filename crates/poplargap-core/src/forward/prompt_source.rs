use {
    super::{
        PlaceFilter, ReplicaEntry, ReplicaTracker, ReplicaView, cached_replicas::CachedReplica,
        rendezvous,
    },
    crate::instant::MonotonicInstant,
    std::sync::Arc,
    strum::IntoStaticStr,
};

/// A request whose prompt the chosen replica may fetch from another replica.
#[derive(Clone, Copy, Debug)]
pub struct SourceRequest<'a> {
    /// The replica that runs the request.
    pub chosen: &'a ReplicaEntry,
    /// Key of the prompt's shared parts.
    pub key: u64,
    /// The current time.
    pub now: MonotonicInstant,
    /// The data centres that the request may use.
    pub places: PlaceFilter<'a>,
    /// The registered replicas of all services.
    pub view: &'a ReplicaView,
}

/// Why a replica is expected to have a prompt's prefix cached.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum SourceBasis {
    /// A request for the prompt was recently sent to the replica.
    Cache,
    /// The replica is the first other one in the prompt's rendezvous order.
    Order,
}

/// The replica from which the chosen one fetches a prompt's prefix.
#[derive(Clone, Debug)]
pub struct PromptSource {
    /// Why the replica is expected to have it.
    pub basis: SourceBasis,
    /// The replica.
    pub replica: Arc<ReplicaEntry>,
}

/// Chooses the replica from which the chosen one fetches what it lacks of a prompt's prefix.
///
/// Moving cached tokens is faster and cheaper than prefilling them again. A replica that
/// probably has the prefix comes first, preferably one in the data centre of the chosen replica;
/// without one, it is the first other replica in the prompt's rendezvous order, at which all
/// daemons place the prompt while it has capacity. Draining replicas are sources, too: what they
/// have cached is lost when they exit. Replicas whose last request failed, or whose data centre
/// was unreachable and hasn't replied since, are no sources, since a fetch from them may stall the
/// request.
#[must_use]
pub fn choose_source(
    tracker: &ReplicaTracker,
    request: &SourceRequest<'_>,
) -> Option<PromptSource> {
    let known = known_source(tracker, request).map(|replica| (SourceBasis::Cache, replica));
    let source = known.or_else(|| {
        let first = first_in_order(tracker, request)?;
        Some((SourceBasis::Order, first))
    });
    let (basis, replica) = source?;
    Some(PromptSource {
        basis,
        replica: Arc::clone(replica),
    })
}

/// Returns the best replica to which a request for the prompt was recently sent.
fn known_source<'a>(
    tracker: &ReplicaTracker,
    request: &SourceRequest<'a>,
) -> Option<&'a Arc<ReplicaEntry>> {
    let centre = &request.chosen.data_centre;
    tracker
        .holders(request.key, request.now)
        .filter_map(|cached| {
            let replica = registered(request, cached)?;
            is_usable(tracker, request, replica).then_some((replica, cached.used()))
        })
        .max_by_key(|(replica, used)| (replica.data_centre == *centre, *used))
        .map(|(replica, _)| replica)
}

/// Returns the registered replica of a cache entry, unless it has restarted.
fn registered<'a>(
    request: &SourceRequest<'a>,
    cached: &CachedReplica,
) -> Option<&'a Arc<ReplicaEntry>> {
    let service = &request.chosen.service;
    let ready = request.view.replica(cached.id());
    let mut all = ready.into_iter().chain(request.view.draining(service));
    all.find(|replica| cached.is_at(replica) && replica.service == *service)
}

/// Returns the first usable replica in the prompt's rendezvous order.
fn first_in_order<'a>(
    tracker: &ReplicaTracker,
    request: &SourceRequest<'a>,
) -> Option<&'a Arc<ReplicaEntry>> {
    let service = &request.chosen.service;
    let ready = request.view.replicas(service);
    let sources = ready.iter().chain(request.view.draining(service));
    let first = sources.fold(None, |first, replica| {
        let score = rendezvous::score(replica.id.as_bytes(), request.key);
        let is_ahead = first.is_none_or(|(best, _)| score > best);
        // Most replicas are behind the first one, so few are checked for failures.
        if is_ahead && is_usable(tracker, request, replica) {
            Some((score, replica))
        } else {
            first
        }
    });
    first.map(|(_, replica)| replica)
}

fn is_usable(
    tracker: &ReplicaTracker,
    request: &SourceRequest<'_>,
    replica: &ReplicaEntry,
) -> bool {
    replica.id != request.chosen.id
        && request.places.allows(&replica.data_centre, request.now)
        && !tracker.is_doubtful(replica)
}
