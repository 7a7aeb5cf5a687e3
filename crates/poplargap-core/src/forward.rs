//! Decisions about forwarded requests: routes, replica choice, retries and shutdown.
//!
//! Every daemon decides on its own, from the routes in force, the registered replicas, the
//! outcomes of its own requests, and the load reports of its peers.

mod attempt_rule;
mod blocked_parts;
mod cached_replicas;
mod centre_distance;
mod centre_health;
mod choice_candidate;
mod choice_rule;
mod client_limits;
mod close_plan;
mod cold_gate;
mod cold_start;
mod crash_evidence;
mod crash_report;
mod eligible_rule;
mod evacuation;
mod event_cursor;
mod exchange_rule;
mod feed_state;
mod fleet_demand;
mod leave_rule;
mod load_bound;
mod load_estimate;
mod loop_lag;
mod peer_view;
mod pending_crashes;
mod pending_leaving;
mod pending_reports;
mod place_filter;
mod prompt_order;
mod prompt_part;
mod prompt_rates;
mod prompt_source;
mod reader_rule;
mod rendezvous;
mod repeated_parts;
mod replica_entry;
mod replica_intake;
mod replica_load;
mod replica_pace;
mod replica_registry;
mod replica_tracker;
mod request_identity;
mod room_rule;
mod room_share;
mod route_entry;
mod route_table;
mod send_outcome;
mod service_budget;
mod sound_parts;
mod stream_watch;
mod timed_choice;
mod wait_queue;
mod work_estimate;

pub use {
    attempt_rule::{AttemptHistory, FinalAnswer, NextStep, RefusalReason, next_step},
    blocked_parts::{BlockScope, BlockedPart, BlockedParts, SoundNote},
    cached_replicas::{CachedReplicas, PrefixReplica},
    centre_distance::CentreDistances,
    centre_health::CentreHealth,
    choice_rule::{ChoiceRequest, PlacedBy, ReplicaChoice, choose_replica},
    client_limits::ClientLimits,
    close_plan::{ClosePhase, ClosePlan},
    cold_gate::{ColdGate, ColdLimit, FleetPlace},
    cold_start::{ColdStart, hold_time},
    crash_evidence::{
        CrashEvidence, EvidenceChange, EvidenceKey, EvidenceListing, LostEvidence, LostItem,
        MissingNote,
    },
    crash_report::{CrashId, CrashReport, ReportError, UnansweredCall},
    evacuation::{EvacuationChange, EvacuationView},
    event_cursor::{CursorError, EventBatch, EventCursor},
    exchange_rule::ExchangeRule,
    feed_state::FeedState,
    fleet_demand::{FleetDemand, ServiceDemand},
    leave_rule::{LeaveReason, LeaveRequest, LeaveRule},
    loop_lag::LoopLag,
    peer_view::{PeerEntry, PeerView},
    pending_crashes::{PeerCrash, PendingCrashes},
    pending_leaving::{LeavingReplica, PendingLeaving},
    pending_reports::{LoadDigest, PeerReport, PendingReports},
    place_filter::{PlaceFilter, RegionTable},
    prompt_part::{PromptPart, leading_parts, placement_key, shared_tokens},
    prompt_rates::PromptRates,
    prompt_source::{PromptSource, SourceBasis, SourceRequest, choose_source},
    reader_rule::{ReadSource, ReaderRule},
    repeated_parts::repeated_parts,
    replica_entry::{AddressError, ProcessAddress, ReplicaEntry, ReplicaId, ReplicaState},
    replica_intake::{IntakeState, ReplicaIntake},
    replica_load::{LoadReport, ReplicaLoad, ReportSource},
    replica_pace::{PaceError, PaceEstimate, ReplicaPace},
    replica_registry::{RegistryChange, ReplicaRegistry, ReplicaView},
    replica_tracker::{HealthChange, ReplicaTracker},
    request_identity::{RequestContent, RequestIdentity},
    room_rule::{RoomRequest, RoomStep, RoomView, ShortRoom, room_step},
    room_share::RoomShare,
    route_entry::{RepeatRule, RouteEntry, ServiceEntry, ServiceShare, WorkspaceEntry},
    route_table::{AccessRefusal, RouteGrant, RouteTable},
    send_outcome::SendOutcome,
    service_budget::ServiceBudget,
    sound_parts::SoundParts,
    stream_watch::{EventlessError, StallStep, StreamWatch},
    timed_choice::{TimedReplica, choose_by_time, load_factor, nominal_rate, timed_replicas},
    wait_queue::{WaitEntry, WaitQueue, WaitTicket},
    work_estimate::WorkEstimate,
};
