//! The operators' listener: status, traces, metrics, readiness.

use {
    crate::{members::MemberView, pipeline::RequestContext, server::HttpServer},
    poplargap_core::{membership::MemberState, name::RequestId, settings::OperatorToken},
    poplargap_link::report::StatusReport,
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
    warp::{Filter, Reply, http::StatusCode, reply::Response},
};

/// The running listener for operators.
#[derive(Debug)]
pub struct OperatorServer(HttpServer);

impl OperatorServer {
    /// Starts answering on `listener`.
    #[must_use]
    pub fn start<S>(
        context: Arc<RequestContext<S>>,
        token: OperatorToken,
        listener: TcpListener,
    ) -> Self
    where
        S: Send + Sync + 'static,
    {
        let with_context = warp::any().map(move || Arc::clone(&context));
        let operator = warp::header::optional::<String>("authorization")
            .map(move |header: Option<String>| is_operator(header.as_deref(), &token));
        let live = warp::path!("livez").map(|| "live\n".into_response());
        let ready = warp::path!("readyz")
            .and(with_context.clone())
            .map(|context: Arc<RequestContext<S>>| readiness(&context));
        let metrics = warp::path!("metrics")
            .and(with_context.clone())
            .map(|context: Arc<RequestContext<S>>| context.metrics.render().into_response());
        let status = warp::path!("v1" / "status")
            .and(operator.clone())
            .and(with_context.clone())
            .map(|allowed, context: Arc<RequestContext<S>>| guarded(allowed, || status(&context)));
        let explain = warp::path!("v1" / "explain" / String)
            .and(operator)
            .and(with_context)
            .map(|id: String, allowed, context: Arc<RequestContext<S>>| {
                guarded(allowed, || explain(&context, &id))
            });
        let route = warp::get().and(
            live.or(ready)
                .unify()
                .or(metrics)
                .unify()
                .or(status)
                .unify()
                .or(explain)
                .unify(),
        );
        Self(HttpServer::start(route, listener))
    }

    /// Stops the listener, waiting up to `grace` for requests in flight.
    pub async fn close(self, grace: Duration) {
        self.0.close(grace).await;
    }
}

fn is_operator(header: Option<&str>, token: &OperatorToken) -> bool {
    header
        .and_then(|header| header.strip_prefix("Bearer "))
        .is_some_and(|given| token.matches(given))
}

fn guarded(allowed: bool, answer: impl FnOnce() -> Response) -> Response {
    if allowed {
        answer()
    } else {
        StatusCode::UNAUTHORIZED.into_response()
    }
}

fn readiness<S>(context: &RequestContext<S>) -> Response {
    if context.members.borrow().own.state == MemberState::Ready {
        "ready\n".into_response()
    } else {
        warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE).into_response()
    }
}

fn status<S>(context: &RequestContext<S>) -> Response {
    let members: Arc<MemberView> = Arc::clone(&context.members.borrow());
    let report = StatusReport {
        daemon: members.own.name.clone(),
        data_centre: context.data_centre.clone(),
        members_ready: members
            .ready
            .iter()
            .map(|member| member.name.clone())
            .collect(),
        requests_in_flight: context.gate.in_flight(),
        revision: context.catalogue.borrow().revision,
        state: members.own.state,
    };
    warp::reply::json(&report).into_response()
}

fn explain<S>(context: &RequestContext<S>, id: &str) -> Response {
    let trace = RequestId::try_from(id)
        .ok()
        .and_then(|id| context.traces.find(&id));
    match trace {
        Some(trace) => warp::reply::json(&trace).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
