//! Listeners for the platform: readiness and metrics.

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

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers whether the daemon is ready.
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

/// A daemon is ready with routes in force and while it isn't closing.
fn readiness<D>(state: &FrontState<D>) -> StatusCode {
    if state.routes.borrow().is_some() && !state.close.is_closing() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Serves metrics.
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
