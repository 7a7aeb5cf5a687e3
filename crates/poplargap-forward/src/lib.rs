//! A front proxy that forwards requests to replicas.
//!
//! A request passes these filters: accept, identify, admit, place, relay, respond. The wire format
//! is defined by a [`WireDialect`], the format of stored values by a [`FeedDialect`]. Decisions are
//! made in `poplargap_core::forward`.

mod accept;
mod admit;
mod body_budget;
mod body_read;
mod call_head;
mod call_log;
mod call_stage;
mod close_signal;
mod connection_pool;
mod count_guard;
mod crash_board;
mod crash_check;
mod crash_reporter;
mod dialect;
mod feed;
mod front_metrics;
mod front_proxy;
mod front_settings;
mod front_state;
mod hold;
mod identify;
mod interim_replies;
mod local_answer;
mod metric_bounds;
mod peers;
mod place;
mod process_clock;
mod relay;
mod relay_body;
mod relay_end;
mod respond;
mod room;
mod room_metrics;
mod send;
mod status_server;
mod store_metrics;
mod stream_relay;
mod waiting_rooms;

pub use {
    call_head::{CallHead, HeadError, ReplyHead, ReplyRefusal, SendHead},
    crash_board::{CRASHES_PREFIX, SOUND_PREFIX},
    dialect::{DecodeError, FeedDialect, WireDialect},
    feed::{
        ChangeLog, ChangeLogError, FeedBatch, FeedBatchBody, FeedChange, FeedPosition, FeedValue,
        OmittedValues, ReadVerdict, ValueKind, ValueRead,
    },
    front_proxy::{FrontError, FrontProxy},
    front_settings::{
        FeedSettings, FrontSettings, PlaceSettings, RetrySettings, SharedFeedSettings,
    },
    local_answer::LocalAnswer,
    peers::{LeasedEntry, MessageError, PEERS_PREFIX, PeerMessage, announce},
    process_clock::ProcessClock,
};
