use {std::time::Duration, strum::IntoStaticStr};

/// Requests for each slot that may wait at a replica when one more is sent to it that can be in time
/// and is within the share that the replicas bear.
const QUEUE_MAX: f64 = 2.5;

/// The same for a request that is late already, or beyond the share: it takes only room that the
/// others don't need.
const LATE_QUEUE_MAX: f64 = 0.7;

/// Chance that such a request is sent when it finds room, while the replicas don't bear all requests,
/// and while they do. Many wait, and each learns of the same room at the same time.
const LATE_CHANCE: (f64, f64) = (0.03, 0.8);

/// Position of the most urgent requests among all, as a part of that of the least urgent ones.
const URGENT_PART: f64 = 0.5;

/// The least urgent priority.
const PRIORITY_MAX: u8 = 9;

/// First pause of a request that waits.
const PAUSE_MIN: Duration = Duration::from_millis(8);

/// Longest pause of a request that waits.
const PAUSE_MAX: Duration = Duration::from_millis(80);

/// Share of a request's time for which it may wait in all.
const WAIT_SHARE: f64 = 0.4;

/// A request for which there may be room.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest {
    /// Uniform number from 0 to 1 that belongs to this look at the room.
    pub look: f64,
    /// Uniform number from 0 to 1 that belongs to the request.
    pub point: f64,
    /// Share of the service's requests that its replicas bear, up to 1.
    pub share: f64,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Time until the latency target; zero if it has passed.
    pub target_left: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time for which the request has waited.
    pub waited: Duration,
}

/// Why a request is refused while a service is short of room.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum ShortRoom {
    /// No replica can answer within the caller's time.
    NoTime,
    /// The request has waited as long as it may.
    WaitedLong,
}

/// What to do with a request for which the expected time is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomStep {
    /// Send it now.
    Send,
    /// Look again after this time.
    Wait(Duration),
    /// Refuse it, since it can't be served.
    Refuse(ShortRoom),
}

/// The replica that would get the request.
#[derive(Clone, Copy, Debug)]
pub struct RoomView {
    /// Expected time from the send to the answer.
    pub expected: Duration,
    /// Requests that wait at the replica for each of its slots.
    pub queue: f64,
}

/// Decides whether a request is sent to a replica, waits or is refused.
///
/// Answers a load that exceeds the replicas' places for tenths of a second: a request that would be
/// in time is sent; one that would be late waits until the replica's queue is short, so that it makes
/// no other one late. It is refused when it can't be answered within its time, or has waited for a
/// good part of it, so that its caller can ask again.
#[must_use]
pub fn room_step(request: &RoomRequest, view: &RoomView) -> RoomStep {
    if view.expected >= request.time_left {
        return RoomStep::Refuse(ShortRoom::NoTime);
    }
    let has_room = if is_within_share(request, view) {
        view.queue <= QUEUE_MAX
    } else {
        view.queue <= LATE_QUEUE_MAX && request.look < late_chance(request.share)
    };
    if has_room {
        return RoomStep::Send;
    }
    let wait_max = (request.time_left + request.waited).mul_f64(WAIT_SHARE * request.share);
    if request.waited >= wait_max {
        return RoomStep::Refuse(ShortRoom::WaitedLong);
    }
    RoomStep::Wait((request.waited / 2).clamp(PAUSE_MIN, PAUSE_MAX))
}

/// Returns whether a request can be in time and is within the share that the replicas bear.
fn is_within_share(request: &RoomRequest, view: &RoomView) -> bool {
    let rank = f64::from(request.priority.min(PRIORITY_MAX)) / f64::from(PRIORITY_MAX);
    // The urgent requests are the first of those that the replicas bear.
    let position = request.point * (URGENT_PART + (1.0 - URGENT_PART) * rank);
    view.expected <= request.target_left && position <= request.share
}

fn late_chance(share: f64) -> f64 {
    if share < 1.0 {
        LATE_CHANCE.0
    } else {
        LATE_CHANCE.1
    }
}
