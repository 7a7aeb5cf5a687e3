//! HTTP routes of the stand-in.

use {
    super::{
        StoreFaults, call_counts::is_write, call_fate::CallFate, store_handle::StoreHandle,
        store_message::StoreMessage, store_state::SwapAnswer,
    },
    crate::relay::RelayControl,
    poplargap_platform::{
        CallKind, LeaseId, SwapWrite, VmEntry,
        wire::{KeyQuery, LeaseRequest, ListQuery, SwapReceipt, WatchQuery},
    },
    serde::Serialize,
    std::{convert::Infallible, future::pending, net::SocketAddr, time::Duration},
    tokio::time::sleep,
    warp::{
        Filter, Rejection, Reply,
        http::StatusCode,
        reply::{Response, json, with_status},
    },
};

/// Longest request body; JSON may escape a value of the longest length.
const BODY_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// What every route needs.
#[derive(Clone, Debug)]
pub(super) struct RouteContext {
    pub(super) relay: RelayControl,
    pub(super) remote: Option<SocketAddr>,
    pub(super) store: StoreHandle,
}

impl RouteContext {
    /// Serves one call of the platform's interface under the faults in force.
    async fn serve(
        self,
        kind: CallKind,
        work: impl Future<Output = Response> + Send + 'static,
    ) -> Result<Response, Infallible> {
        let fate = self
            .store
            .ask(|reply| StoreMessage::Begin(kind, reply))
            .await;
        let Some(CallFate::Apply { delay, drop_answer }) = fate else {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        };
        let work = async move {
            sleep(delay).await;
            work.await
        };
        let response = if is_write(kind) {
            run_detached(work).await
        } else {
            work.await
        };
        if drop_answer && let Some(remote) = self.remote {
            self.relay.reset(remote).await;
            return pending().await;
        }
        Ok(response)
    }

    async fn set_faults(self, faults: StoreFaults) -> Result<Response, Infallible> {
        let set = |reply| StoreMessage::SetFaults(faults, reply);
        let done = self.store.ask(set).await;
        if faults.silent {
            match self.remote {
                Some(remote) => self.relay.silence_except(remote).await,
                None => self.relay.silence().await,
            }
        }
        Ok(answer(done))
    }
}

/// Runs a write to its end even when its caller goes away.
async fn run_detached(work: impl Future<Output = Response> + Send + 'static) -> Response {
    tokio::spawn(work)
        .await
        .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

/// Returns all routes.
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
        .or(steering_routes(context))
}

fn value_routes(
    context: impl Filter<Extract = (RouteContext,), Error = Infallible> + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let get = warp::path!("v1" / "kv")
        .and(warp::get())
        .and(context.clone())
        .and(warp::query())
        .and_then(|context: RouteContext, query: KeyQuery| {
            let store = context.store.clone();
            context.serve(CallKind::Get, async move {
                answer(store.ask(|reply| StoreMessage::Get(query.key, reply)).await)
            })
        });
    let list = warp::path!("v1" / "list")
        .and(warp::get())
        .and(context.clone())
        .and(warp::query())
        .and_then(|context: RouteContext, query: ListQuery| {
            let store = context.store.clone();
            context.serve(CallKind::List, async move {
                answer(store.ask(|reply| StoreMessage::List(query, reply)).await)
            })
        });
    let swap = warp::path!("v1" / "kv")
        .and(warp::put())
        .and(context.clone())
        .and(json_body())
        .and_then(|context: RouteContext, write: SwapWrite| {
            let store = context.store.clone();
            context.serve(CallKind::Swap, async move {
                swap_answer(store.ask(|reply| StoreMessage::Swap(write, reply)).await)
            })
        });
    let watch = warp::path!("v1" / "watch")
        .and(warp::get())
        .and(context)
        .and(warp::query())
        .and_then(|context: RouteContext, query: WatchQuery| {
            let store = context.store.clone();
            context.serve(CallKind::Watch, async move {
                match store.ask(|reply| StoreMessage::Watch(query, reply)).await {
                    Some(Err(notice)) => {
                        with_status(json(&notice), StatusCode::GONE).into_response()
                    }
                    batch => answer(batch.and_then(Result::ok)),
                }
            })
        });
    get.or(list).or(swap).or(watch)
}

fn lease_routes(
    context: impl Filter<Extract = (RouteContext,), Error = Infallible> + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let grant = warp::path!("v1" / "leases")
        .and(warp::post())
        .and(context.clone())
        .and(json_body())
        .and_then(|context: RouteContext, request: LeaseRequest| {
            let store = context.store.clone();
            let ttl = Duration::from_millis(request.ttl_ms);
            context.serve(CallKind::GrantLease, async move {
                answer(
                    store
                        .ask(|reply| StoreMessage::GrantLease(ttl, reply))
                        .await,
                )
            })
        });
    let renew = warp::path!("v1" / "leases" / u64 / "renew")
        .and(warp::post())
        .and(context.clone())
        .and_then(|id: u64, context: RouteContext| {
            let store = context.store.clone();
            let id = LeaseId(id);
            context.serve(CallKind::RenewLease, async move {
                lease_answer(store.ask(|reply| StoreMessage::RenewLease(id, reply)).await)
            })
        });
    let revoke = warp::path!("v1" / "leases" / u64)
        .and(warp::delete())
        .and(context)
        .and_then(|id: u64, context: RouteContext| {
            let store = context.store.clone();
            let id = LeaseId(id);
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
        .and_then(|context: RouteContext| {
            let store = context.store.clone();
            context.serve(CallKind::Vms, async move {
                answer(store.ask(StoreMessage::Vms).await)
            })
        });
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

fn steering_routes(
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
    clear.or(compact).or(counters).or(faults).or(set)
}

fn json_body<T: serde::de::DeserializeOwned + Send>()
-> impl Filter<Extract = (T,), Error = Rejection> + Clone {
    warp::body::content_length_limit(BODY_BYTES_MAX).and(warp::body::json())
}

fn answer<T: Serialize>(answer: Option<T>) -> Response {
    match answer {
        Some(answer) => json(&answer).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn lease_answer(held: Option<bool>) -> Response {
    match held {
        Some(false) => StatusCode::NOT_FOUND.into_response(),
        held => answer(held.map(|_| ())),
    }
}

fn swap_answer(swapped: Option<SwapAnswer>) -> Response {
    match swapped {
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(SwapAnswer::Applied(revision)) => json(&SwapReceipt { revision }).into_response(),
        Some(SwapAnswer::Conflict(current)) => {
            with_status(json(&current), StatusCode::CONFLICT).into_response()
        }
        Some(SwapAnswer::NoLease) => StatusCode::NOT_FOUND.into_response(),
        Some(SwapAnswer::TooLong) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    }
}
