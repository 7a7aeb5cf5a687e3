//! Settings files of a site's daemons.

use {
    super::{SitePlan, port_block::PortBlock},
    std::{io, net::SocketAddr},
};

/// Fleet secret shared by a site's daemons.
pub(super) const FLEET_SECRET: &str = "fleet-secret-of-a-test-site";

/// Bearer token for the daemons' listeners for operators.
pub(super) const OPERATOR_TOKEN: &str = "operator-token-of-a-test-site";

/// Name, data centre and listener addresses of one daemon.
#[derive(Clone, Debug)]
pub(super) struct DaemonSpec {
    pub(super) callers: SocketAddr,
    pub(super) data_centre: String,
    pub(super) name: String,
    pub(super) operators: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) relay: SocketAddr,
}

impl DaemonSpec {
    /// Picks free listener addresses for all daemons of a plan, by daemon number.
    pub(super) fn assign(plan: &SitePlan) -> io::Result<Vec<Self>> {
        let mut ports = PortBlock::new();
        (0..plan.daemons)
            .map(|number| {
                let data_centre = plan.data_centre_of(number).to_owned();
                Ok(Self {
                    callers: ports.pick_address()?,
                    name: format!("{data_centre}-{number:02}"),
                    data_centre,
                    operators: ports.pick_address()?,
                    peers: ports.pick_address()?,
                    relay: ports.pick_address()?,
                })
            })
            .collect()
    }

    /// Renders the daemon's settings file with `store` as its store address.
    pub(super) fn settings(&self, plan: &SitePlan, store: SocketAddr) -> String {
        let Self {
            callers,
            data_centre,
            name,
            operators,
            peers,
            relay,
        } = self;
        let SitePlan {
            extra_settings,
            log_level,
            policy,
            ..
        } = plan;
        format!(
            "[daemon]\nname = {name}\ndata-centre = {data_centre}\ncallers = {callers}\n\
             operators = {operators}\npeers = {peers}\nrelay = {relay}\n\n\
             [fleet]\nsecret = {FLEET_SECRET}\n\n[operators]\ntoken = {OPERATOR_TOKEN}\n\n\
             [store]\naddress = {store}\n\n[placement]\npolicy = {policy}\n\n\
             [log]\nlevel = {log_level}\n\n[invariants]\npanic = yes\n\n{extra_settings}"
        )
    }
}
