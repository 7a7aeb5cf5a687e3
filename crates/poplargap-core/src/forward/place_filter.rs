use {
    super::EvacuationView,
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::sync::Arc,
};

/// The region of each data centre.
pub type RegionTable = HashMap<Arc<str>, Arc<str>>;

/// The data centres that one request may use.
///
/// The default allows all.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlaceFilter<'a> {
    /// The evacuated data centres, if they are known.
    pub evacuations: Option<&'a EvacuationView>,
    /// Selects the requests that leave a data centre first while it is evacuated.
    pub point: u64,
    /// Regions of the data centres; `None` if they aren't known.
    pub regions: Option<&'a RegionTable>,
    /// Regions that the request's route allows; empty if it allows all.
    pub route_homes: &'a [Arc<str>],
    /// Regions that the caller's workspace allows; empty if it allows all.
    pub workspace_homes: &'a [Arc<str>],
}

impl PlaceFilter<'_> {
    /// Returns whether the request may be sent to a replica in `centre`.
    ///
    /// The homes of the route and of the workspace both bind. A data centre without a known region
    /// is in no home.
    #[must_use]
    pub fn allows(&self, centre: &str, now: MonotonicInstant) -> bool {
        let is_closed = self
            .evacuations
            .is_some_and(|evacuations| evacuations.closes(centre, self.point, now));
        !is_closed && self.is_home(centre)
    }

    /// Returns whether the route or the workspace restricts the regions.
    #[must_use]
    pub fn has_homes(&self) -> bool {
        !self.route_homes.is_empty() || !self.workspace_homes.is_empty()
    }

    fn is_home(&self, centre: &str) -> bool {
        if !self.has_homes() {
            return true;
        }
        let region = self.regions.and_then(|regions| regions.get(centre));
        let is_in =
            |homes: &[Arc<str>]| homes.is_empty() || region.is_some_and(|own| homes.contains(own));
        is_in(self.route_homes) && is_in(self.workspace_homes)
    }
}
