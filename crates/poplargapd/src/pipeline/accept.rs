//! Receives callers' requests over HTTP and passes them to the pipeline.

use {
    super::{
        AdmitPass, CallTarget, CallerRequest, ProblemCode, RequestContext, RequestGuard,
        RequestProblem, RequestTrace, chat, service,
    },
    crate::{
        body::{self, BodyError, DISCARD_BYTES_MAX},
        server::HttpServer,
    },
    bytes::{Buf, Bytes},
    futures::Stream,
    poplargap_core::name::{PoolName, RequestId},
    poplargap_store::KeyValueStore,
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, time},
    warp::{
        Filter, Reply,
        filters::path::FullPath,
        http::{HeaderMap, Method, StatusCode},
        reply::Response,
    },
};

const SERVICES_PREFIX: &str = "/v1/services/";

/// The running listener for callers.
#[derive(Debug)]
pub struct CallerServer(HttpServer);

impl CallerServer {
    /// Starts serving requests on `listener`.
    #[must_use]
    pub fn start<S: KeyValueStore>(context: Arc<RequestContext<S>>, listener: TcpListener) -> Self {
        let context = warp::any().map(move || Arc::clone(&context));
        let chats = warp::path!("v1" / "chat" / "completions")
            .and(warp::post())
            .and(context.clone())
            .and(warp::header::headers_cloned())
            .and(warp::body::stream())
            .then(|context, headers, body| serve(context, headers, body, CallTarget::Chat));
        let query = warp::query::raw().or(warp::any().map(String::new)).unify();
        let services = warp::path!("v1" / "services" / ..)
            .and(warp::path::full())
            .and(warp::method())
            .and(query)
            .and(context)
            .and(warp::header::headers_cloned())
            .and(warp::body::stream())
            .then(
                |path: FullPath, method, query: String, context, headers, body| async move {
                    match service_target(&path, &method, &query, &headers) {
                        Some(target) => serve(context, headers, body, target).await,
                        None => StatusCode::NOT_FOUND.into_response(),
                    }
                },
            );
        Self(HttpServer::start(chats.or(services), listener))
    }

    /// Accepts no more connections and waits up to `grace` for requests in flight.
    pub async fn close(self, grace: Duration) {
        self.0.close(grace).await;
    }
}

fn service_target(
    path: &FullPath,
    method: &Method,
    query: &str,
    headers: &HeaderMap,
) -> Option<CallTarget> {
    let rest = path.as_str().strip_prefix(SERVICES_PREFIX)?;
    let (pool, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let pool = PoolName::try_from(pool).ok()?;
    let query = if query.is_empty() {
        String::new()
    } else {
        format!("?{query}")
    };
    let content_type = headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .map(ToOwned::to_owned);
    Some(CallTarget::Service {
        content_type,
        method: method.to_string(),
        path: format!("/{tail}{query}"),
        pool,
    })
}

/// Returns an id for a request whose caller gave none.
fn fresh_id() -> RequestId {
    let text = format!("req-{:032x}", rand::random::<u128>());
    RequestId::try_from(text).expect("hexadecimal digits and a dash make a name")
}

async fn serve<S, B, D, E>(
    context: Arc<RequestContext<S>>,
    headers: HeaderMap,
    body: B,
    target: CallTarget,
) -> Response
where
    S: KeyValueStore,
    B: Stream<Item = Result<D, E>> + Send,
    D: Buf,
{
    let accepted = context.clock.now();
    let request = match CallerRequest::read(&headers, target, accepted, fresh_id()) {
        Ok(request) => request,
        Err((id, findings)) => {
            let problem =
                RequestProblem::not_run(ProblemCode::MalformedRequest, findings.join("; "));
            return problem.into_response(&id);
        }
    };
    let pass: AdmitPass = match context.gate.admit() {
        Ok(pass) => pass,
        Err(problem) => return problem.into_response(&request.id),
    };
    let trace = RequestTrace::new(request.id.clone());
    let guard = RequestGuard::new(Arc::clone(&context), accepted, pass, trace);
    if context.catalogue.borrow().revision == 0 {
        let problem =
            RequestProblem::not_run(ProblemCode::NotReady, "the daemon has no catalogue yet");
        return chat::refuse(problem, &request.id, guard);
    }
    let body = match read_body(&context, &headers, body).await {
        Ok(body) => body,
        Err(problem) => return chat::refuse(problem, &request.id, guard),
    };
    match &request.target {
        CallTarget::Chat => chat::serve(context, request, body, guard).await,
        CallTarget::Service { .. } => service::serve(context, request, body, guard).await,
    }
}

async fn read_body<S, B, D, E>(
    context: &RequestContext<S>,
    headers: &HeaderMap,
    body: B,
) -> Result<Bytes, RequestProblem>
where
    B: Stream<Item = Result<D, E>>,
    D: Buf,
{
    let max = context.body_max;
    let declared = headers
        .get("content-length")
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if declared.is_some_and(|declared| declared > max.saturating_add(DISCARD_BYTES_MAX)) {
        return Err(too_large(max));
    }
    let read = time::timeout(context.body_deadline, body::collect(body, max)).await;
    let Ok(read) = read else {
        let seconds = context.body_deadline.as_secs();
        let detail = format!("the body didn't arrive within {seconds} s");
        return Err(RequestProblem::not_run(ProblemCode::BodyTimeout, detail));
    };
    read.map_err(|error| match error {
        BodyError::Broken => {
            let detail = "the body broke off before its end";
            RequestProblem::not_run(ProblemCode::MalformedRequest, detail)
        }
        BodyError::TooLarge => too_large(max),
    })
}

fn too_large(max: u64) -> RequestProblem {
    let detail =
        format!("the body is longer than {max} bytes, the most that the daemon's settings allow");
    RequestProblem::not_run(ProblemCode::BodyTooLarge, detail)
}
