//! Orders to engines, and the orders that a catalogue entry requires.

use {
    crate::catalogue::UpstreamEntry,
    serde::{Deserialize, Serialize},
    strum::{Display, IntoStaticStr},
};

/// The property of an engine that an order changes.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OrderKind {
    /// Loads an adapter.
    Adapter,
    /// Loads a model.
    LoadModel,
    /// Changes the role.
    Role,
    /// Changes the version.
    Version,
}

impl OrderKind {
    /// Returns whether carrying out the order reads weights from the weight store.
    #[must_use]
    pub fn loads_weights(self) -> bool {
        self != Self::Role
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineOrder {
    /// Fencing number of the daemon that sends the order.
    pub fence: u64,
    /// The property to change.
    pub order: OrderKind,
    /// The new value.
    pub value: String,
}

/// An order without its fencing number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct OrderStep {
    /// The property to change.
    pub order: OrderKind,
    /// The new value.
    pub value: String,
}

impl OrderStep {
    /// Returns the order with the fencing number `fence`.
    #[must_use]
    pub fn with_fence(&self, fence: u64) -> EngineOrder {
        EngineOrder {
            fence,
            order: self.order,
            value: self.value.clone(),
        }
    }
}

/// Returns the sequence of orders that brings a new engine to the state of its entry.
///
/// The model comes before its version, the version before adapters, and the role comes last, so
/// that an engine has all its weights when it takes a role.
#[must_use]
pub fn ordered_steps(entry: &UpstreamEntry) -> Vec<OrderStep> {
    let mut steps = Vec::new();
    let mut push = |order, value: &str| {
        let value = value.to_owned();
        steps.push(OrderStep { order, value });
    };
    if let Some(version) = &entry.model_version {
        push(OrderKind::LoadModel, entry.pool.as_str());
        push(OrderKind::Version, version.as_str());
    }
    for adapter in &entry.adapters {
        push(OrderKind::Adapter, adapter.as_str());
    }
    if let Some(role) = entry.role {
        push(OrderKind::Role, role.into());
    }
    steps
}
