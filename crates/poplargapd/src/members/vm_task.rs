//! Polls the platform's VM list.

use {
    poplargap_core::{
        collections::HashSet,
        name::{DataCentre, UpstreamName},
    },
    poplargap_store::{VmAnswer, VmEntry, VmList, VmQuery, VmRole, VmState},
    slog::Logger,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, task::JoinHandle, time},
};

/// Most live entry VMs that a daemon asks for in each other data centre.
const FAR_ENTRIES_MAX: usize = 4;

/// The parts of the VM list that a daemon needs, as last read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmView {
    /// Addresses of daemons' listeners for peers, by data centre.
    pub daemons: BTreeMap<DataCentre, Vec<SocketAddr>>,
    /// Upstreams whose VM the platform is about to remove.
    pub leaving: HashSet<UpstreamName>,
}

impl VmView {
    fn from_entries(entries: &[VmEntry]) -> Self {
        let mut view = Self::default();
        for entry in entries {
            match (entry.role, entry.state) {
                (VmRole::Entry, VmState::Live) => {
                    let daemons = view.daemons.entry(entry.data_centre.clone()).or_default();
                    daemons.push(entry.address);
                }
                (VmRole::Upstream, VmState::Leaving) => {
                    let name = UpstreamName::try_from(entry.name.as_str());
                    view.leaving.extend(name);
                }
                (VmRole::Entry, VmState::Leaving) | (VmRole::Upstream, VmState::Live) => {}
            }
        }
        view
    }
}

/// Task that polls the VM list.
#[derive(Debug)]
pub struct VmTask {
    handle: JoinHandle<()>,
}

impl VmTask {
    /// Starts polling `list` every `poll` for a daemon of `data_centre`.
    ///
    /// While the list can't be read, the last view stays in force.
    pub fn start<L: VmList>(
        list: L,
        data_centre: DataCentre,
        poll: Duration,
        log: Logger,
    ) -> (Self, watch::Receiver<Arc<VmView>>) {
        let (sender, receiver) = watch::channel(Arc::new(VmView::default()));
        let query = VmQuery {
            data_centre,
            far_entries_max: FAR_ENTRIES_MAX,
        };
        let handle = tokio::spawn(run(list, query, poll, log, sender));
        (Self { handle }, receiver)
    }

    /// Stops polling.
    pub fn close(self) {
        self.handle.abort();
    }
}

async fn run<L: VmList>(
    list: L,
    query: VmQuery,
    poll: Duration,
    log: Logger,
    sender: watch::Sender<Arc<VmView>>,
) {
    let mut known = None;
    let mut reachable = true;
    let mut ticks = time::interval(poll);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match list.query_vms(&query, known.as_ref()).await {
            Ok(answer) => {
                if !reachable {
                    slog::info!(log, "VM list can be read again");
                }
                reachable = true;
                let VmAnswer::Listed { entries, tag } = answer else {
                    continue;
                };
                known = tag;
                let view = VmView::from_entries(&entries);
                sender.send_if_modified(|current| {
                    let changed = **current != view;
                    if changed {
                        *current = Arc::new(view);
                    }
                    changed
                });
            }
            Err(error) => {
                if reachable {
                    slog::warn!(log, "VM list can't be read"; "error" => %error);
                }
                reachable = false;
            }
        }
    }
}
