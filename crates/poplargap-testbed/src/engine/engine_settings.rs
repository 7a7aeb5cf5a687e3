//! Settings of an engine stand-in.

use {
    poplargap_core::catalogue::FencingCheck,
    std::{
        net::{Ipv4Addr, SocketAddr},
        num::NonZeroUsize,
        time::Duration,
    },
};

/// Minimum duration of a decode step; with zero-length steps, prefill would never complete.
const DECODE_STEP_MIN: Duration = Duration::from_micros(1);

/// Addresses, capacity and timing of one engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Tokens per block of the prefix cache.
    pub block_tokens: NonZeroUsize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: NonZeroUsize,
    /// Delay before a cache event is published.
    pub cache_event_lag: Duration,
    /// Listen address that serves the same paths and isn't affected by connection faults.
    pub control_listen: SocketAddr,
    /// Duration of a decode step with one running request.
    pub decode_base: Duration,
    /// Duration that each additional running request adds to a decode step.
    pub decode_slope: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: FencingCheck,
    /// Listen address for requests; connection faults apply to it.
    pub listen: SocketAddr,
    /// Delay with which load changes are reported.
    pub load_lag: Duration,
    /// Prefill time per prompt token that isn't cached.
    pub prefill_per_token: Duration,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            block_tokens: NonZeroUsize::new(16).expect("16 is not zero"),
            cache_blocks: NonZeroUsize::new(8192).expect("8192 is not zero"),
            cache_event_lag: Duration::from_millis(50),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            decode_base: Duration::from_millis(10),
            decode_slope: Duration::from_micros(200),
            fencing: FencingCheck::Checked,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            load_lag: Duration::from_millis(200),
            prefill_per_token: Duration::from_micros(100),
            slots: 24,
        }
    }
}

impl EngineSettings {
    /// Returns the duration of a decode step with `running` requests; never zero.
    #[must_use]
    pub fn decode_step(&self, running: usize) -> Duration {
        let additional = u32::try_from(running.saturating_sub(1)).unwrap_or(u32::MAX);
        (self.decode_base + self.decode_slope * additional).max(DECODE_STEP_MIN)
    }

    /// Returns the prefill time for `tokens` tokens that aren't cached.
    #[must_use]
    pub fn prefill(&self, tokens: usize) -> Duration {
        self.prefill_per_token * u32::try_from(tokens).unwrap_or(u32::MAX)
    }
}
