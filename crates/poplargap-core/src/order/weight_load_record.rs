//! Which upstreams of one pool load weights now, over all data centres.

use {
    crate::name::{DataCentre, UpstreamName},
    serde::{Deserialize, Serialize},
};

/// Leave for one upstream to load weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightLoadTicket {
    /// The upstream's data centre.
    pub data_centre: DataCentre,
    /// Fencing number of the holder that took the ticket.
    pub fence: u64,
    /// The upstream.
    pub upstream: UpstreamName,
}

/// The tickets of one pool, changed only by compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightLoadRecord {
    /// Highest catalogue revision of a writer.
    pub catalogue: u64,
    /// Tickets in their order of issue.
    pub tickets: Vec<WeightLoadTicket>,
}

impl WeightLoadRecord {
    /// Returns whether the holder has the upstream's ticket.
    #[must_use]
    pub fn holds(&self, ticket: &WeightLoadTicket) -> bool {
        self.tickets.contains(ticket)
    }

    /// Drops the tickets of data centres that the catalogue at `revision` doesn't know.
    ///
    /// A catalogue older than that of an earlier writer changes nothing.
    pub fn remove_data_centres(&mut self, revision: u64, is_known: impl Fn(&DataCentre) -> bool) {
        if revision >= self.catalogue {
            self.catalogue = revision;
            self.tickets.retain(|ticket| is_known(&ticket.data_centre));
        }
    }

    /// Drops the data centre's tickets of former holders, whose orders are all over.
    pub fn remove_former_tickets(&mut self, data_centre: &DataCentre, fence: u64) {
        self.tickets
            .retain(|ticket| ticket.data_centre != *data_centre || ticket.fence >= fence);
    }

    /// Makes the holder's tickets those of `wanted`, as far as `limit` allows new ones.
    ///
    /// Tickets that the holder doesn't want any more go first; nobody else's change.
    pub fn update_tickets(
        &mut self,
        data_centre: &DataCentre,
        fence: u64,
        wanted: &[WeightLoadTicket],
        limit: usize,
    ) {
        let own =
            |ticket: &WeightLoadTicket| ticket.data_centre == *data_centre && ticket.fence == fence;
        self.tickets
            .retain(|ticket| !own(ticket) || wanted.contains(ticket));
        for ticket in wanted {
            if self.tickets.len() >= limit {
                return;
            }
            if !self.holds(ticket) {
                self.tickets.push(ticket.clone());
            }
        }
    }
}
