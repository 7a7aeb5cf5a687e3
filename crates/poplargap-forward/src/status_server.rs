//! Serves the readiness probe and the metrics.

use {
    crate::{WireDialect, front_state::FrontState},
    slog::warn,
    std::{convert::Infallible, sync::Arc},
    tokio::net::TcpListener,
    warp::{
        Filter, Reply,
        http::{Response, StatusCode},
    },
};

/// URL path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the readiness probe until the task is aborted.
pub(crate) async fn serve_ready<D: WireDialect>(state: Arc<FrontState<D>>, listener: TcpListener) {
    let route = warp::get()
        .and(warp::path::full())
        .then(move |path: warp::path::FullPath| {
            let state = Arc::clone(&state);
            async move {
                if path.as_str() != state.dialect.ready_path() {
                    return StatusCode::NOT_FOUND;
                }
                readiness(&state)
            }
        });
    warp::serve(route).incoming(listener).run().await;
}

/// Returns the status of the readiness probe: a daemon is ready if it has routes and isn't
/// shutting down.
fn readiness<D>(state: &FrontState<D>) -> StatusCode {
    if state.routes.borrow().is_some() && !state.close.is_closing() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Serves the metrics until the task is aborted.
pub(crate) async fn serve_metrics<D: WireDialect>(
    state: Arc<FrontState<D>>,
    listener: TcpListener,
) {
    let route = warp::get()
        .and(warp::path::full())
        .and_then(move |path: warp::path::FullPath| {
            let state = Arc::clone(&state);
            async move {
                if path.as_str() != METRICS_PATH {
                    return Ok::<_, Infallible>(StatusCode::NOT_FOUND.into_response());
                }
                Ok(metrics(&state))
            }
        });
    warp::serve(route).incoming(listener).run().await;
}

fn metrics<D>(state: &FrontState<D>) -> warp::reply::Response {
    match state.metrics.render() {
        Ok(text) => Response::new(text.into()),
        Err(error) => {
            warn!(state.log, "metrics can't be rendered"; "error" => %error);
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
