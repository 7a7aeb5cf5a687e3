//! HTTP routes of the stand-in.

use {
    super::{
        StoreFaults,
        route_answer::{answer, lease_answer, swap_answer, vm_answer},
        route_context::RouteContext,
        store_handle::StoreHandle,
        store_message::StoreMessage,
        store_restore::RestorePlan,
    },
    crate::relay::RelayControl,
    poplargap_platform::store_wire::{
        ItemBody, KeyQuery, LeaseBody, RangeBody, RangeQuery, TransactionBody, WatchBody,
        WatchQuery,
    },
    poplargap_store::{CallKind, VmEntry, VmQuery},
    serde::de::DeserializeOwned,
    std::{convert::Infallible, time::Duration},
    warp::{Filter, Rejection, Reply, http::StatusCode},
};

/// Longest request body, in bytes; leaves room for JSON escapes in a value of the longest length.
const BODY_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// Returns the routes of the platform's interface and those that control the stand-in.
pub(super) fn routes(
    store: StoreHandle,
    relay: RelayControl,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let context = warp::addr::remote().map(move |remote| RouteContext {
        relay: relay.clone(),
        remote,
        store: store.clone(),
    });
    value_routes(context.clone())
        .or(lease_routes(context.clone()))
        .or(vm_routes(context.clone()))
        .or(control_routes(context))
}

fn value_routes(
    context: impl Filter<Extract = (RouteContext,), Error = Infallible> + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let get = warp::path!("v1" / "kv-key")
        .and(warp::get())
        .and(context.clone())
        .and(warp::query())
        .and_then(|context: RouteContext, query: KeyQuery| {
            let store = context.store.clone();
            context.serve(CallKind::Get, async move {
                let faults = store.ask(StoreMessage::Faults).await;
                let is_old = faults.is_some_and(|faults| faults.old_copies);
                if is_old && query.stale_read.is_some() {
                    return StatusCode::NOT_FOUND.into_response();
                }
                match store.ask(|reply| StoreMessage::Get(query.key, reply)).await {
                    Some(None) => StatusCode::NOT_FOUND.into_response(),
                    stored => answer(stored.flatten().as_ref().map(ItemBody::from)),
                }
            })
        });
    let list = warp::path!("v1" / "kv-range")
        .and(warp::get())
        .and(context.clone())
        .and(warp::query())
        .and_then(|context: RouteContext, query: RangeQuery| {
            let store = context.store.clone();
            context.serve(CallKind::List, async move {
                let page = store.ask(|reply| StoreMessage::List(query, reply)).await;
                answer(page.as_ref().map(RangeBody::from))
            })
        });
    let swap = warp::path!("v1" / "kv-txn")
        .and(warp::post())
        .and(context.clone())
        .and(json_body())
        .and_then(|context: RouteContext, body: TransactionBody| {
            let store = context.store.clone();
            context.serve(CallKind::Swap, async move {
                swap_answer(store.ask(|reply| StoreMessage::Swap(body, reply)).await)
            })
        });
    let watch = warp::path!("v1" / "kv-watch")
        .and(warp::get())
        .and(context)
        .and(warp::query())
        .and_then(|context: RouteContext, query: WatchQuery| {
            let store = context.store.clone();
            context.serve(CallKind::Watch, async move {
                match store.ask(|reply| StoreMessage::Watch(query, reply)).await {
                    Some(Err(_)) => StatusCode::GONE.into_response(),
                    batch => answer(batch.and_then(Result::ok).as_ref().map(WatchBody::from)),
                }
            })
        });
    get.or(list).or(swap).or(watch)
}

fn lease_routes(
    context: impl Filter<Extract = (RouteContext,), Error = Infallible> + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let grant = warp::path!("v1" / "kv-lease")
        .and(warp::post())
        .and(context.clone())
        .and(json_body())
        .and_then(|context: RouteContext, request: LeaseBody| {
            let store = context.store.clone();
            let ttl = Duration::from_millis(request.ttl_ms);
            context.serve(CallKind::GrantLease, async move {
                let grant = store
                    .ask(|reply| StoreMessage::GrantLease(ttl, reply))
                    .await;
                answer(grant.map(|grant| LeaseBody {
                    lease: grant.id.number(),
                    ttl_ms: grant.ttl_ms,
                }))
            })
        });
    let renew = warp::path!("v1" / "kv-keep" / u64)
        .and(warp::post())
        .and(context.clone())
        .and_then(|id: u64, context: RouteContext| {
            let store = context.store.clone();
            context.serve(CallKind::RenewLease, async move {
                lease_answer(store.ask(|reply| StoreMessage::RenewLease(id, reply)).await)
            })
        });
    let revoke = warp::path!("v1" / "kv-lease-end" / u64)
        .and(warp::delete())
        .and(context)
        .and_then(|id: u64, context: RouteContext| {
            let store = context.store.clone();
            context.serve(CallKind::RevokeLease, async move {
                lease_answer(
                    store
                        .ask(|reply| StoreMessage::RevokeLease(id, reply))
                        .await,
                )
            })
        });
    grant.or(renew).or(revoke)
}

fn vm_routes(
    context: impl Filter<Extract = (RouteContext,), Error = Infallible> + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let get = warp::path!("v1" / "vms")
        .and(warp::get())
        .and(context.clone())
        .and(vm_query())
        .and(warp::header::optional::<String>("if-none-match"))
        .and_then(
            |context: RouteContext, query: Option<VmQuery>, known_tag: Option<String>| {
                let store = context.store.clone();
                context.serve(CallKind::Vms, async move {
                    let vms = store.ask(StoreMessage::Vms).await;
                    match query {
                        Some(query) => vm_answer(vms.as_deref(), &query, known_tag.as_deref()),
                        None => answer(vms),
                    }
                })
            },
        );
    let put = warp::path!("v1" / "vms")
        .and(warp::put())
        .and(context)
        .and(json_body())
        .and_then(|context: RouteContext, vms: Vec<VmEntry>| async move {
            let done = context.store.ask(|reply| StoreMessage::PutVms(vms, reply));
            Ok::<_, Infallible>(answer(done.await))
        });
    get.or(put)
}

fn control_routes(
    context: impl Filter<Extract = (RouteContext,), Error = Infallible> + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let clear = warp::path!("faults")
        .and(warp::delete())
        .and(context.clone())
        .and_then(|context: RouteContext| context.set_faults(StoreFaults::default()));
    let compact = warp::path!("compact")
        .and(warp::post())
        .and(context.clone())
        .and_then(|context: RouteContext| async move {
            Ok::<_, Infallible>(answer(context.store.ask(StoreMessage::Compact).await))
        });
    let copy = warp::path!("copy")
        .and(warp::post())
        .and(context.clone())
        .and_then(|context: RouteContext| async move {
            Ok::<_, Infallible>(answer(context.store.ask(StoreMessage::TakeCopy).await))
        });
    let restore = warp::path!("restore")
        .and(warp::post())
        .and(context.clone())
        .and(json_body())
        .and_then(|context: RouteContext, plan: RestorePlan| async move {
            let restored = context
                .store
                .ask(|reply| StoreMessage::Restore(plan, reply));
            Ok::<_, Infallible>(lease_answer(restored.await))
        });
    let counters = warp::path!("counters")
        .and(warp::get())
        .and(context.clone())
        .and_then(|context: RouteContext| async move {
            Ok::<_, Infallible>(answer(context.store.ask(StoreMessage::Counts).await))
        });
    let faults = warp::path!("faults")
        .and(warp::get())
        .and(context.clone())
        .and_then(|context: RouteContext| async move {
            Ok::<_, Infallible>(answer(context.store.ask(StoreMessage::Faults).await))
        });
    let set = warp::path!("faults")
        .and(warp::post())
        .and(context)
        .and(json_body())
        .and_then(|context: RouteContext, faults| context.set_faults(faults));
    clear
        .or(compact)
        .or(copy)
        .or(counters)
        .or(faults)
        .or(restore)
        .or(set)
}

/// Extracts the query for a part of the VM list; `None` stands for the whole list.
fn vm_query() -> impl Filter<Extract = (Option<VmQuery>,), Error = Infallible> + Clone {
    warp::query::<VmQuery>()
        .map(Some)
        .or_else(|_| async { Ok::<_, Infallible>((None,)) })
}

fn json_body<T: DeserializeOwned + Send>() -> impl Filter<Extract = (T,), Error = Rejection> + Clone
{
    warp::body::content_length_limit(BODY_BYTES_MAX).and(warp::body::json())
}
