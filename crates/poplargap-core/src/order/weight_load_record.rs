//! Upstreams of one pool that may load weights now, over all data centres.

use {
    crate::name::{DataCentre, UpstreamName},
    serde::{Deserialize, Serialize},
};

/// Permission for one upstream to load weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightLoadTicket {
    /// The upstream's data centre.
    pub data_centre: DataCentre,
    /// Fencing number of the lease holder that took the ticket.
    pub fence: u64,
    /// The upstream that may load weights.
    pub upstream: UpstreamName,
}

/// The tickets of one pool; the stored record changes only by compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WeightLoadRecord {
    /// Highest catalogue revision with which a writer removed data centres.
    pub catalogue: u64,
    /// Tickets, oldest first.
    pub tickets: Vec<WeightLoadTicket>,
}

impl WeightLoadRecord {
    /// Returns whether the record contains `ticket`.
    #[must_use]
    pub fn holds(&self, ticket: &WeightLoadTicket) -> bool {
        self.tickets.contains(ticket)
    }

    /// Removes the tickets of data centres that the catalogue at `revision` doesn't have.
    ///
    /// Does nothing if an earlier writer had a newer catalogue.
    pub fn remove_data_centres(&mut self, revision: u64, is_known: impl Fn(&DataCentre) -> bool) {
        if revision >= self.catalogue {
            self.catalogue = revision;
            self.tickets.retain(|ticket| is_known(&ticket.data_centre));
        }
    }

    /// Removes the data centre's tickets of former holders, none of whose orders may still run.
    pub fn remove_former_tickets(&mut self, data_centre: &DataCentre, fence: u64) {
        self.tickets
            .retain(|ticket| ticket.data_centre != *data_centre || ticket.fence >= fence);
    }

    /// Replaces the holder's tickets by `wanted`, adding new ones while there are fewer than `limit`.
    ///
    /// Tickets that the holder no longer wants are removed first; those of others don't change.
    pub fn update_tickets(
        &mut self,
        data_centre: &DataCentre,
        fence: u64,
        wanted: &[WeightLoadTicket],
        limit: usize,
    ) {
        let is_own =
            |ticket: &WeightLoadTicket| ticket.data_centre == *data_centre && ticket.fence == fence;
        self.tickets
            .retain(|ticket| !is_own(ticket) || wanted.contains(ticket));
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
