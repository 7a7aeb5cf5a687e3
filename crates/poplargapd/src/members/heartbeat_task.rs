//! Sends and receives heartbeats within the own data centre.

use {
    super::{MemberView, PeerRotation, PeerShard, VmView, centre_table::CentreTable},
    crate::{clock::ProcessClock, metrics::DaemonMetrics},
    poplargap_core::{
        collections::{HashMap, HashMapExt},
        membership::{HeartbeatEffect, MemberReport, MemberState, MemberTable},
        name::{DaemonName, DataCentre},
        rendezvous,
    },
    poplargap_link::{
        heartbeat::{
            CentreSummary, DATAGRAM_LEN_MAX, FleetDatagram, HeartbeatMessage, PoolSummary,
            ShardReport,
        },
        proof::FleetKey,
    },
    slog::Logger,
    std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        sync::{mpsc, watch},
        task::JoinHandle,
        time::{self, MissedTickBehavior},
    },
};

const COMMANDS_MAX: usize = 16;

/// Bytes of a datagram's UDP and IPv4 headers.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// Heartbeats sent for each summary to other data centres.
const HEARTBEATS_PER_SUMMARY: u64 = 2;

/// Daemons of each other data centre that a summary is sent to.
const SUMMARY_RECEIVERS: usize = 2;

/// Settings of the heartbeat task.
#[derive(Debug)]
pub struct HeartbeatSettings {
    /// The own data centre.
    pub data_centre: DataCentre,
    /// Time between heartbeats.
    pub interval: Duration,
    /// The fleet's key.
    pub key: FleetKey,
    /// The daemon's report of itself.
    pub own: MemberReport,
    /// Peers that get heartbeats even when the VM list can't be read.
    pub seeds: Vec<SocketAddr>,
    /// Time without heartbeats after which a peer counts as dead.
    pub suspect: Duration,
}

enum HeartbeatCommand {
    SetState(MemberState),
}

/// Task that owns the heartbeat socket and the table of members.
#[derive(Debug)]
pub struct HeartbeatTask {
    commands: mpsc::Sender<HeartbeatCommand>,
    handle: JoinHandle<()>,
}

/// Inputs of the task, each published by another task.
#[derive(Debug)]
pub(crate) struct HeartbeatInputs {
    pub(crate) pools: watch::Receiver<Vec<PoolSummary>>,
    pub(crate) revision: watch::Receiver<u64>,
    pub(crate) shards: watch::Receiver<Vec<ShardReport>>,
    pub(crate) vms: watch::Receiver<Arc<VmView>>,
}

impl HeartbeatTask {
    /// Starts sending and receiving heartbeats on `socket`.
    pub(crate) fn start(
        settings: HeartbeatSettings,
        socket: UdpSocket,
        inputs: HeartbeatInputs,
        clock: ProcessClock,
        metrics: Arc<DaemonMetrics>,
        log: Logger,
    ) -> (Self, watch::Receiver<Arc<MemberView>>) {
        let table = MemberTable::new(settings.own.clone(), settings.suspect, clock.now());
        let view = MemberView {
            remote_loads: HashMap::new(),
            own: settings.own.clone(),
            peers: Vec::new(),
            ready: table.ready(),
            shards: HashMap::new(),
        };
        let (sender, receiver) = watch::channel(Arc::new(view));
        let (commands, command_receiver) = mpsc::channel(COMMANDS_MAX);
        let state = HeartbeatState {
            centres: CentreTable::new(settings.data_centre.clone()),
            clock,
            inputs,
            log,
            metrics,
            reports: HashMap::new(),
            sender,
            settings,
            socket,
            table,
            rotation: PeerRotation::default(),
        };
        let handle = tokio::spawn(state.run(command_receiver));
        (Self { commands, handle }, receiver)
    }

    /// Sets the daemon's state and announces it to all peers at once.
    pub async fn set_state(&self, state: MemberState) {
        let sent = self.commands.send(HeartbeatCommand::SetState(state)).await;
        debug_assert!(sent.is_ok(), "the task ends only when it is closed");
    }

    /// Stops sending and receiving heartbeats.
    pub fn close(self) {
        self.handle.abort();
    }
}

struct HeartbeatState {
    centres: CentreTable,
    clock: ProcessClock,
    inputs: HeartbeatInputs,
    log: Logger,
    metrics: Arc<DaemonMetrics>,
    reports: HashMap<DaemonName, Vec<ShardReport>>,
    sender: watch::Sender<Arc<MemberView>>,
    settings: HeartbeatSettings,
    socket: UdpSocket,
    table: MemberTable,
    rotation: PeerRotation,
}

impl HeartbeatState {
    async fn run(mut self, mut commands: mpsc::Receiver<HeartbeatCommand>) {
        let mut ticks = time::interval(self.settings.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut datagram = vec![0; DATAGRAM_LEN_MAX];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut datagram) => {
                    if let Ok((len, _)) = received {
                        self.receive(&datagram[..len]).await;
                    }
                }
                _ = ticks.tick() => self.tick().await,
                command = commands.recv() => match command {
                    Some(HeartbeatCommand::SetState(state)) => {
                        self.table.own_mut().state = state;
                        self.publish();
                        let addresses = self.addresses();
                        self.send(addresses).await;
                    }
                    None => return,
                },
            }
        }
    }

    async fn receive(&mut self, datagram: &[u8]) {
        let len = datagram.len() + DATAGRAM_OVERHEAD_BYTES;
        self.metrics.control.add_received("heartbeat", len);
        match FleetDatagram::decode(datagram, &self.settings.key) {
            Ok(FleetDatagram::Heartbeat(message)) => self.receive_heartbeat(message).await,
            Ok(FleetDatagram::Summary(summary)) => {
                self.centres.receive_direct(summary, self.clock.now());
            }
            Err(_) => {
                let refused = self.metrics.peers_refused.with_label_values(&["datagram"]);
                refused.inc();
            }
        }
    }

    async fn receive_heartbeat(&mut self, message: HeartbeatMessage) {
        let now = self.clock.now();
        let (name, state) = (message.report.name.clone(), message.report.state);
        let peer = message.report.peers;
        let effect = self.table.record_heartbeat(message.report, now);
        if effect == HeartbeatEffect::Stale {
            return;
        }
        self.centres.receive_relayed(message.centres, now);
        self.reports.insert(name.clone(), message.shards);
        self.publish();
        if effect == HeartbeatEffect::Changed {
            slog::info!(self.log, "member joined or changed state"; "daemon" => %name, "state" => %state);
            self.send(vec![peer]).await;
        }
    }

    async fn tick(&mut self) {
        for name in self.table.expire(self.clock.now()) {
            slog::warn!(self.log, "member lost"; "daemon" => %name);
            self.reports.remove(&name);
        }
        self.publish();
        let addresses = self.addresses();
        let HeartbeatSettings {
            interval, suspect, ..
        } = self.settings;
        let suspect = PeerRotation::suspect_timeout(interval, suspect, addresses.len());
        self.table.set_suspect_timeout(suspect);
        let joining = self.table.own().state == MemberState::Joining;
        let due = if joining {
            addresses
        } else {
            self.rotation.next(&addresses)
        };
        self.send(due).await;
        if self
            .table
            .own()
            .sequence
            .is_multiple_of(HEARTBEATS_PER_SUMMARY)
        {
            self.send_summaries().await;
        }
    }

    fn publish(&mut self) {
        let mut shards: HashMap<_, Vec<PeerShard>> = HashMap::new();
        for (daemon, reports) in &self.reports {
            for report in reports {
                let peer = PeerShard {
                    daemon: daemon.clone(),
                    report: report.clone(),
                };
                shards.entry(report.digest).or_default().push(peer);
            }
        }
        let view = MemberView {
            remote_loads: self.centres.loads(self.clock.now()),
            own: self.table.own().clone(),
            peers: self.table.peers().cloned().collect(),
            ready: self.table.ready(),
            shards,
        };
        let ready = i64::try_from(view.ready.len()).unwrap_or(i64::MAX);
        self.metrics.members_ready.set(ready);
        self.sender.send_replace(Arc::new(view));
    }

    async fn send(&mut self, addresses: Vec<SocketAddr>) {
        let revision = *self.inputs.revision.borrow();
        let own = self.table.own_mut();
        own.sequence += 1;
        own.revision = revision;
        let report = own.clone();
        let shards = self.inputs.shards.borrow().clone();
        let centres = self.centres.to_relay(self.clock.now());
        let message = HeartbeatMessage {
            centres,
            report,
            shards,
        };
        self.send_to(&FleetDatagram::Heartbeat(message), "heartbeat", addresses)
            .await;
    }

    /// Sends the loads of the own data centre to the others.
    ///
    /// Each other data centre gets them from the ready daemon that ranks first for its name.
    async fn send_summaries(&mut self) {
        let own = self.settings.data_centre.clone();
        let name = &self.table.own().name;
        let ready = self.table.ready();
        let targets: BTreeSet<SocketAddr> = {
            let vms = self.inputs.vms.borrow();
            let others = vms.daemons.iter().filter(|(centre, _)| **centre != own);
            others
                .filter(|(centre, _)| {
                    let names = ready.iter().map(|member| &member.name);
                    rendezvous::first(centre.as_str(), names) == Some(name)
                })
                .flat_map(|(_, daemons)| receivers(&own, daemons))
                .collect()
        };
        let pools = self.inputs.pools.borrow().clone();
        let summary = CentreSummary {
            data_centre: own,
            pools,
        };
        let targets = targets.into_iter().collect();
        self.send_to(&FleetDatagram::Summary(summary), "summary", targets)
            .await;
    }

    async fn send_to(&self, datagram: &FleetDatagram, kind: &str, addresses: Vec<SocketAddr>) {
        let datagram = match datagram.encode(&self.settings.key) {
            Ok(datagram) => datagram,
            Err(error) => {
                slog::error!(self.log, "datagram can't be sent"; "error" => %error);
                return;
            }
        };
        let len = datagram.len() + DATAGRAM_OVERHEAD_BYTES;
        for address in addresses {
            if self.socket.send_to(&datagram, address).await.is_ok() {
                self.metrics.control.add_sent(kind, len);
            }
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let vms = self.inputs.vms.borrow();
        let listed = vms
            .daemons
            .get(&self.settings.data_centre)
            .into_iter()
            .flatten()
            .copied();
        let known = self.table.peers().map(|report| report.peers);
        let mut addresses: BTreeSet<SocketAddr> = listed
            .chain(known)
            .chain(self.settings.seeds.iter().copied())
            .collect();
        addresses.remove(&self.settings.own.peers);
        addresses.into_iter().collect()
    }
}

/// Returns the daemons of another data centre that summaries of `own` are sent to.
fn receivers(own: &DataCentre, daemons: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked = daemons.to_vec();
    ranked
        .sort_by_cached_key(|daemon| Reverse(rendezvous::score(own.as_str(), &daemon.to_string())));
    ranked.truncate(SUMMARY_RECEIVERS);
    ranked
}
