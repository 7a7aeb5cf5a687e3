//! Context that the stand-in's routes share.

use {
    super::{
        StoreFaults, call_counts::is_write, call_effect::CallEffect, route_answer::answer,
        store_handle::StoreHandle, store_message::StoreMessage,
    },
    crate::relay::RelayControl,
    poplargap_platform::store_wire::ERA_HEADER,
    poplargap_store::CallKind,
    std::{convert::Infallible, future::pending, net::SocketAddr},
    tokio::time::sleep,
    warp::{
        Reply,
        http::{HeaderValue, StatusCode},
        reply::Response,
    },
};

/// Store, relay and caller's address of one request.
#[derive(Clone, Debug)]
pub(super) struct RouteContext {
    pub(super) relay: RelayControl,
    pub(super) remote: Option<SocketAddr>,
    pub(super) store: StoreHandle,
}

impl RouteContext {
    /// Counts one call of the platform's interface and serves it under the active faults.
    pub(super) async fn serve(
        self,
        kind: CallKind,
        work: impl Future<Output = Response> + Send + 'static,
    ) -> Result<Response, Infallible> {
        let effect = self
            .store
            .ask(|reply| StoreMessage::Begin(kind, reply))
            .await;
        let Some(CallEffect::Apply { delay, drop_answer }) = effect else {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        };
        let store = self.store.clone();
        let work = async move {
            sleep(delay).await;
            in_one_era(&store, kind, work).await
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

    /// Replaces the faults; `silent` silences all other open connections.
    pub(super) async fn set_faults(self, faults: StoreFaults) -> Result<Response, Infallible> {
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

/// Adds the era to an answer; there is none if the era changed meanwhile, except for a watch, which is
/// answered in the new one.
async fn in_one_era(
    store: &StoreHandle,
    kind: CallKind,
    work: impl Future<Output = Response>,
) -> Response {
    let before = store.ask(StoreMessage::Era).await;
    let mut response = work.await;
    let era = store.ask(StoreMessage::Era).await;
    let Some(era) = era.filter(|_| before == era || kind == CallKind::Watch) else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let header = HeaderValue::from(era.number() + 1);
    response.headers_mut().insert(ERA_HEADER, header);
    response
}

/// Completes a write even when its caller disconnects.
async fn run_detached(work: impl Future<Output = Response> + Send + 'static) -> Response {
    tokio::spawn(work)
        .await
        .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}
