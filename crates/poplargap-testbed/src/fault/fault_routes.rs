//! The control paths that switch faults on and off.

use {
    super::{ConnectionHandle, FaultSettings, connection_gate::GateOrder},
    std::convert::Infallible,
    tokio::sync::{mpsc, oneshot},
    warp::{
        Filter, Rejection,
        http::StatusCode,
        reply::{Reply, Response},
    },
};

/// Builds the filter of `POST /faults` and `DELETE /faults`.
pub fn fault_routes(
    orders: mpsc::Sender<GateOrder>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let orders = warp::any().map(move || orders.clone());
    let set = warp::path!("faults")
        .and(warp::post())
        .and(warp::body::json())
        .and(warp::ext::get())
        .and(orders.clone())
        .and_then(set_faults);
    let clear = warp::path!("faults")
        .and(warp::delete())
        .map(FaultSettings::default)
        .and(warp::ext::get())
        .and(orders)
        .and_then(set_faults);
    set.or(clear).unify()
}

async fn set_faults(
    settings: FaultSettings,
    connection: ConnectionHandle,
    orders: mpsc::Sender<GateOrder>,
) -> Result<Response, Infallible> {
    let (done_tx, done_rx) = oneshot::channel();
    let order = GateOrder {
        done_tx,
        exempt: Some(connection),
        settings,
    };
    let status = match orders.send(order).await {
        Ok(()) if done_rx.await.is_ok() => StatusCode::NO_CONTENT,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    Ok(status.into_response())
}
