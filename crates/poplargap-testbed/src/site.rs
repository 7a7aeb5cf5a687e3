//! Complete test sites on loopback: daemons, and stand-ins for the platform and the upstreams.

mod declarations;
mod embedded_site;
mod port_block;
mod process_site;
mod settings_text;
mod site_error;
mod site_plan;
mod site_relays;
mod site_upstreams;
mod status_client;

pub use {
    embedded_site::EmbeddedSite,
    process_site::{DaemonProcess, ProcessSite},
    site_error::SiteError,
    site_plan::{ClassPlan, PoolPlan, SitePlan, WorkspacePlan},
    site_relays::{PeerLink, SiteRelays},
    site_upstreams::{EngineAddresses, SiteUpstreams},
    status_client::{DaemonStatus, StatusClient},
};
