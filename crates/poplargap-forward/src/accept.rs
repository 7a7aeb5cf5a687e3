//! Filter: accepts callers' connections and passes their requests through the other filters.

use {
    crate::{
        WireDialect,
        admit::admit,
        count_guard::CountGuard,
        front_state::FrontState,
        hold::hold,
        identify::identify,
        local_answer::OVERLOADED_RETRY_AFTER,
        relay::CallRelay,
        relay_body::RelayBody,
        relay_end::RelayEnd,
        respond::{respond_refused, respond_relayed, respond_unread},
    },
    hyper::{
        Request, Response,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    poplargap_core::forward::{ClosePhase, FinalAnswer},
    slog::{debug, warn},
    std::{
        convert::Infallible,
        pin::pin,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::{Instant, sleep, timeout_at},
    },
};

/// Pause after a failed accept, as when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Size limit of a connection's read buffer in bytes; it also limits a request's head.
const BUFFER_BYTES_MAX: usize = 64 * 1024;

/// Number of checks of a connection within one idle timeout.
const IDLE_CHECKS: u32 = 4;

/// Time after a request's deadline until the daemon answers itself, so that the relay can return
/// the replica's own final reply first.
const DEADLINE_SLACK: Duration = Duration::from_millis(60);

/// Accepts connections until the task is aborted.
pub(crate) async fn accept<D: WireDialect>(state: Arc<FrontState<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(Arc::clone(&state), stream));
            }
            Err(error) => {
                warn!(state.log, "connection can't be accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Measures how long a connection has been idle.
#[derive(Debug)]
struct IdleTimer(Mutex<Instant>);

impl IdleTimer {
    fn new() -> Self {
        Self(Mutex::new(Instant::now()))
    }

    /// Restarts the timer when a request arrives and when its response is ready; a streamed body
    /// doesn't restart it.
    fn restart(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn idle_for(&self) -> Duration {
        let started = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        started.elapsed()
    }
}

async fn serve<D: WireDialect>(state: Arc<FrontState<D>>, stream: TcpStream) {
    let _open = CountGuard::new(&state.open_connections);
    if let Err(error) = stream.set_nodelay(true) {
        debug!(state.log, "socket options of a caller's connection can't be set"; "error" => %error);
    }
    let idle = Arc::new(IdleTimer::new());
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        let idle = Arc::clone(&idle);
        async move {
            idle.restart();
            let response = answer(&state, request).await;
            idle.restart();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .half_close(false)
        .max_buf_size(BUFFER_BYTES_MAX)
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut is_shutting_down = false;
    loop {
        let idle_timeout = idle_timeout(&state);
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    debug!(state.log, "caller's connection failed"; "error" => %error);
                }
                return;
            }
            () = state.close.wait_until(ClosePhase::Finishing), if !is_shutting_down => {
                is_shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(idle_timeout / IDLE_CHECKS), if !is_shutting_down => {
                if idle.idle_for() > idle_timeout {
                    is_shutting_down = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Returns the idle timeout of callers' connections.
fn idle_timeout<D>(state: &FrontState<D>) -> Duration {
    let routes = state.routes();
    let limits = routes.map_or_else(Default::default, |routes| *routes.limits());
    limits.idle_timeout
}

/// Passes a request through the filters and returns the answer.
async fn answer<D: WireDialect>(
    state: &Arc<FrontState<D>>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let started_at = Instant::now();
    let mut response = match identify(state, request, started_at).await {
        Err(unread) => respond_unread(state, &unread),
        Ok(call) => match admit(state, hold(state, call).await) {
            Err(refused) => respond_refused(state, &refused),
            Ok(call) => {
                let lag = state.lag().current(state.clock.now());
                let deadline = call.deadline + DEADLINE_SLACK.saturating_sub(lag);
                let mut relay = CallRelay::new(state, call);
                let result = tokio::select! {
                    biased;
                    result = timeout_at(deadline, relay.dispatch(None)) => {
                        result.unwrap_or(Err(DEADLINE_PASSED))
                    }
                    () = state.close.wait_until(ClosePhase::Expiring) => Err(GRACE_ENDS),
                };
                respond_relayed(relay, result)
            }
        },
    };
    if state.close.is_closing() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// The end of a request whose deadline passed while a replica may still process it.
const DEADLINE_PASSED: RelayEnd = RelayEnd {
    answer: FinalAnswer::TimedOut,
    reason: "deadline",
    retry_after: OVERLOADED_RETRY_AFTER,
};

/// The end of a request that a replica may still process when the daemon has to stop.
const GRACE_ENDS: RelayEnd = RelayEnd {
    answer: FinalAnswer::Lost,
    reason: "shutdown",
    retry_after: OVERLOADED_RETRY_AFTER,
};
