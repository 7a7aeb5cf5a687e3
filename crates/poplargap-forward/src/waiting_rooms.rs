//! The waiting requests of each service.

use {
    crate::call_stage::AdmittedCall,
    poplargap_core::{
        collections::HashMap,
        forward::{RoomShare, WaitEntry, WaitQueue},
        instant::MonotonicInstant,
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::Notify,
};

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceRoom {
    pub(crate) changed: Notify,
    queue: Mutex<WaitQueue>,
    share: Mutex<Option<RoomShare>>,
}

impl ServiceRoom {
    pub(crate) fn queue(&self) -> MutexGuard<'_, WaitQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The waiting requests of all services.
#[derive(Debug, Default)]
pub(crate) struct WaitingRooms {
    rooms: Mutex<HashMap<Arc<str>, Arc<ServiceRoom>>>,
}

impl WaitingRooms {
    pub(crate) fn room(&self, service: &Arc<str>) -> Arc<ServiceRoom> {
        let mut rooms = self.rooms.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(rooms.entry(Arc::clone(service)).or_default())
    }

    /// Runs `decide` on the estimate of the share of a service's requests that its replicas bear.
    pub(crate) fn share<T>(
        &self,
        service: &Arc<str>,
        now: MonotonicInstant,
        decide: impl FnOnce(&mut RoomShare) -> T,
    ) -> T {
        let room = self.room(service);
        let mut share = room.share.lock().unwrap_or_else(PoisonError::into_inner);
        decide(share.get_or_insert_with(|| RoomShare::new(now)))
    }

    /// Returns whether a request of `service` that doesn't wait has to, since another one precedes
    /// it.
    pub(crate) fn is_preceded(&self, call: &AdmittedCall, now: MonotonicInstant) -> bool {
        let rooms = self.rooms.lock().unwrap_or_else(PoisonError::into_inner);
        rooms.get(&call.service).is_some_and(|room| {
            let queue = room.queue();
            !queue.is_empty() && queue.precedes(&wait_entry(call, now), now)
        })
    }
}

/// What decides the order of a waiting request.
pub(crate) fn wait_entry(call: &AdmittedCall, now: MonotonicInstant) -> WaitEntry {
    let target_left = call.target_left();
    WaitEntry {
        deadline: now + call.time_left(),
        priority: call.priority(),
        target: now + target_left,
    }
}
