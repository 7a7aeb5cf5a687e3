//! Queue of one priority class, fair between workspaces.

use {
    crate::{collections::HashMap, instant::MonotonicInstant, name::WorkspaceName},
    std::collections::VecDeque,
};

/// Cost units that a workspace is granted in each round.
const QUANTUM_UNITS: u64 = 1;

/// Entry of one item in a lane.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueTicket {
    /// Cost of the item in units.
    pub cost: u64,
    /// Number of the item, unique in the queue.
    pub number: u64,
    /// When the item entered this lane.
    pub since: MonotonicInstant,
}

#[derive(Debug, Default)]
struct WorkspaceFlow {
    cost: u64,
    deficit: u64,
    tickets: VecDeque<QueueTicket>,
}

impl WorkspaceFlow {
    fn rounds_to_head(&self) -> u64 {
        let head = self.tickets.front().map_or(0, |ticket| ticket.cost);
        head.saturating_sub(self.deficit).div_ceil(QUANTUM_UNITS)
    }

    fn pop_head(&mut self) -> Option<QueueTicket> {
        let ticket = self.tickets.pop_front()?;
        self.cost -= ticket.cost;
        Some(ticket)
    }
}

/// Deficit round robin over the workspaces with waiting items in one class.
#[derive(Debug, Default)]
pub(super) struct ClassLane {
    cost: u64,
    flows: HashMap<WorkspaceName, WorkspaceFlow>,
    ring: VecDeque<WorkspaceName>,
    quantum_granted: bool,
}

impl ClassLane {
    /// Appends a ticket to those of its workspace.
    pub fn push(&mut self, workspace: &WorkspaceName, ticket: QueueTicket) {
        if !self.flows.contains_key(workspace) {
            self.ring.push_back(workspace.clone());
        }
        let flow = self.flows.entry(workspace.clone()).or_default();
        flow.cost += ticket.cost;
        flow.tickets.push_back(ticket);
        self.cost += ticket.cost;
    }

    /// Removes and returns the next ticket to serve.
    pub fn pop(&mut self) -> Option<QueueTicket> {
        let mut skipped = 0;
        loop {
            let workspace = self.ring.front()?.clone();
            let flow = self.flows.get_mut(&workspace)?;
            if !self.quantum_granted {
                flow.deficit += QUANTUM_UNITS;
                self.quantum_granted = true;
            }
            if flow.rounds_to_head() == 0 {
                let ticket = flow.pop_head()?;
                flow.deficit -= ticket.cost;
                self.cost -= ticket.cost;
                self.remove_if_empty(&workspace);
                return Some(ticket);
            }
            self.ring.rotate_left(1);
            self.quantum_granted = false;
            skipped += 1;
            if skipped % self.ring.len() == 0 {
                self.skip_empty_rounds();
            }
        }
    }

    /// Removes and returns the tickets that entered the lane by `entered_by`, oldest first.
    pub fn take_aged(&mut self, entered_by: MonotonicInstant) -> Vec<(WorkspaceName, QueueTicket)> {
        let mut aged: Vec<(WorkspaceName, QueueTicket)> = self
            .flows
            .iter()
            .flat_map(|(workspace, flow)| {
                flow.tickets
                    .iter()
                    .take_while(|ticket| ticket.since <= entered_by)
                    .map(|ticket| (workspace.clone(), *ticket))
            })
            .collect();
        aged.sort_by_key(|(_, ticket)| ticket.number);
        for (workspace, ticket) in &aged {
            self.remove(workspace, ticket.number);
        }
        aged
    }

    /// Removes the ticket of item `number`, if the lane holds it.
    pub fn remove(&mut self, workspace: &WorkspaceName, number: u64) {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return;
        };
        let Some(index) = flow.tickets.iter().position(|t| t.number == number) else {
            return;
        };
        let Some(ticket) = flow.tickets.remove(index) else {
            return;
        };
        flow.cost -= ticket.cost;
        self.cost -= ticket.cost;
        self.remove_if_empty(workspace);
    }

    /// Returns the most recently added ticket of `workspace`.
    pub fn newest_of(&self, workspace: &WorkspaceName) -> Option<QueueTicket> {
        self.flows.get(workspace)?.tickets.back().copied()
    }

    /// Returns the total cost of all tickets in units.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the cost in units that is served before a new ticket of `workspace` with `cost`.
    ///
    /// While the tickets of `workspace` are served, each other workspace is served at most as much.
    pub fn cost_ahead(&self, workspace: &WorkspaceName, cost: u64) -> u64 {
        let own = self.flows.get(workspace).map_or(0, |flow| flow.cost);
        self.flows
            .iter()
            .filter(|(name, _)| *name != workspace)
            .map(|(_, flow)| flow.cost.min(own + cost))
            .sum::<u64>()
            + own
    }

    fn remove_if_empty(&mut self, workspace: &WorkspaceName) {
        if !self
            .flows
            .get(workspace)
            .is_some_and(|flow| flow.tickets.is_empty())
        {
            return;
        }
        self.flows.remove(workspace);
        if self.ring.front() == Some(workspace) {
            self.quantum_granted = false;
        }
        self.ring.retain(|name| name != workspace);
    }

    fn skip_empty_rounds(&mut self) {
        let rounds = self.flows.values().map(WorkspaceFlow::rounds_to_head).min();
        let empty = rounds.unwrap_or(0).saturating_sub(1);
        for flow in self.flows.values_mut() {
            flow.deficit += empty * QUANTUM_UNITS;
        }
    }
}
