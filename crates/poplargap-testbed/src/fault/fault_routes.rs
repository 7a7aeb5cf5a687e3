//! HTTP routes that set and clear faults.

use {
    super::{ConnectionHandle, FaultSettings, connection_gate::GateCommand},
    std::convert::Infallible,
    tokio::sync::{mpsc, oneshot},
    warp::{
        Filter, Rejection,
        http::StatusCode,
        reply::{Reply, Response},
    },
};

/// Builds the routes `POST /faults`, which replaces the faults by those in its JSON body, and
/// `DELETE /faults`, which clears them.
///
/// They answer with 204 once the change is in force, and with 500 when the gate has closed.
pub fn fault_routes(
    commands: mpsc::Sender<GateCommand>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let commands = warp::any().map(move || commands.clone());
    let set = warp::path!("faults")
        .and(warp::post())
        .and(warp::body::json())
        .and(warp::ext::get())
        .and(commands.clone())
        .and_then(set_faults);
    let clear = warp::path!("faults")
        .and(warp::delete())
        .map(FaultSettings::default)
        .and(warp::ext::get())
        .and(commands)
        .and_then(set_faults);
    set.or(clear).unify()
}

async fn set_faults(
    settings: FaultSettings,
    connection: ConnectionHandle,
    commands: mpsc::Sender<GateCommand>,
) -> Result<Response, Infallible> {
    let (done_tx, done_rx) = oneshot::channel();
    let command = GateCommand {
        done_tx,
        exempt: Some(connection),
        settings,
    };
    let status = match commands.send(command).await {
        Ok(()) if done_rx.await.is_ok() => StatusCode::NO_CONTENT,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    Ok(status.into_response())
}
