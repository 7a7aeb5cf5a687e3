use {
    crate::collections::HashMap,
    std::{sync::Arc, time::Duration},
};

/// Factor by which the shortest time rises with each longer one, so that it follows a longer way.
const RISE: f64 = 1.02;

/// Distance of another data centre to which no connection was opened yet.
const DISTANCE_DEFAULT: Duration = Duration::from_millis(3);

/// The ways to the data centres, from the times in which connections opened.
///
/// The shortest times count, since the others include waits at either end.
#[derive(Debug, Default)]
pub struct CentreDistances {
    shortest_s: HashMap<Arc<str>, f64>,
}

impl CentreDistances {
    /// Records that a connection to a replica in `centre` opened in `time`.
    pub fn record(&mut self, centre: &Arc<str>, time: Duration) {
        let time = time.as_secs_f64();
        let shortest = self.shortest_s.entry(Arc::clone(centre)).or_insert(time);
        *shortest = time.min(*shortest * RISE);
    }

    /// Returns the time that a round trip to the nearest other data centre takes longer than one within
    /// `own`.
    #[must_use]
    pub fn least(&self, own: &str) -> Duration {
        let others = self
            .shortest_s
            .keys()
            .filter(|centre| centre.as_ref() != own);
        let distances = others.map(|centre| self.distance(own, centre));
        distances.min().unwrap_or(DISTANCE_DEFAULT)
    }

    /// Returns the time that a round trip to `centre` takes longer than one within `own`.
    #[must_use]
    pub fn distance(&self, own: &str, centre: &str) -> Duration {
        if own == centre {
            return Duration::ZERO;
        }
        let Some(there) = self.shortest_s.get(centre) else {
            return DISTANCE_DEFAULT;
        };
        let here = self.shortest_s.get(own).copied().unwrap_or(0.0);
        Duration::from_secs_f64((there - here).max(0.0))
    }
}
