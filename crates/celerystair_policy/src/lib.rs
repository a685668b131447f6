//! Decisions about requests and replicas, as pure functions over plain data: callers pass the time
//! in, and nothing here opens a socket, reads a clock or calls the store. Each module names the
//! situations that it handles; its test under `tests/` replays them.
//!
//! | module | decides |
//! |---|---|
//! | [`acceptor`] | which process accepted a connection to an upstream |
//! | [`adapters`] | which adapter an engine loads next, and which one is evicted for it |
//! | [`answer_end`] | whether an answer that has ended is whole |
//! | [`answer_room`] | whose incomplete answer gives way when a router holds too many bytes |
//! | [`bodies`] | whose body a router reads next |
//! | [`budget`] | whether one more retry fits the fleet-wide retry budget |
//! | [`caller_limits`] | until when a caller's connection may be idle |
//! | [`census`] | how many routers divide the fleet-wide limits |
//! | [`choose`] | which upstream gets an attempt |
//! | [`cold_loads`] | how many loads from the weight store run concurrently |
//! | [`config_check`] | whether a version of the configuration comes into force |
//! | [`demand`] | the request rate of each model |
//! | [`departures`] | when an upstream counts as gone |
//! | [`fences`] | the next fencing token of an agent's orders |
//! | [`fleet`] | nothing: types of the configuration and the upstreams |
//! | [`health`] | which upstreams are avoided for a while after failures |
//! | [`known_routers`] | nothing: the routers that processes know of |
//! | [`outcome`] | what happens to a request after a failed attempt |
//! | [`own_response`] | whether a response answers the request that it arrived after |
//! | [`planned_stop`] | whether a request is taken while a planned stop is under way |
//! | [`prompt_parts`] | which parts of prompts are refused because they crash upstreams |
//! | [`rate_limit`] | a router's share of the rate limit that an upstream names |
//! | [`recent_answers`] | nothing: which requests and prompt parts got answers lately |
//! | [`replicas`] | which model an engine loads next, and which ones are evicted for it |
//! | [`routes`] | which route a request takes |
//! | [`spread`] | which peers get gossip directly, and which relay it |
//! | [`stall`] | whether a stalled request switches to another upstream |
//! | [`standstill`] | whether a peer was silent, or this process did not run |
//! | [`stream_holders`] | which processes hold where a stream began |
//! | [`stream_versions`] | at which software version a stream goes on |
//! | [`suspect_part`] | whether the crashes of one part of prompts suffice to refuse it |
//! | [`suspects`] | which requests are refused because they crash upstreams |
//! | [`waiting`] | whether a request waits for a replica, and when a refused caller may retry |
//!
//! Why they are separate, and how they fit together: `docs/PLATFORM.md`.

pub mod acceptor;
pub mod adapters;
pub mod answer_end;
pub mod answer_room;
pub mod bodies;
pub mod budget;
pub mod caller_limits;
pub mod census;
pub mod choose;
pub mod cold_loads;
pub mod config_check;
pub mod demand;
pub mod departures;
pub mod fences;
pub mod fleet;
pub mod health;
pub mod known_routers;
pub mod outcome;
pub mod own_response;
pub mod planned_stop;
pub mod prompt_parts;
pub mod rate_limit;
pub mod recent_answers;
pub mod replicas;
pub mod routes;
pub mod spread;
pub mod stall;
pub mod standstill;
pub mod stream_holders;
pub mod stream_versions;
pub mod suspect_part;
pub mod suspects;
pub mod waiting;

/// The items that routers and agents use.
pub mod prelude {
    pub use crate::{
        acceptor::{
            Acceptor, AcceptorFacts, KnownStart, KnownStarts, ReportedStart, StartSource,
            accepting_version, acceptor,
        },
        answer_end::{AnswerEnd, Listening, PROCESS_END_MS},
        answer_room::{AnswerLimit, AnswerRoom, AnswerTicket},
        bodies::{BodyRoom, BodyTicket, SMALL_BODY_MAX_BYTES},
        budget::{EarlierAttempts, RetryAllowance, RetryBound, RetryBudget},
        caller_limits::CallerLimitHistory,
        census::RouterCountEstimate,
        choose::{
            Candidate, choose_upstream, engine_load_per_slot_max, engine_urgency, has_capacity,
        },
        cold_loads::{ColdLoadObservations, ColdLoadRun},
        config_check::{ConfigDecision, ConfigFault, decide_config, is_version_absurd},
        demand::DemandMeter,
        departures::{
            MissingUpstreams, UnlistedRuns, is_entry_believed, may_take_over, replaced_entries,
            state_of_run, upstream_state,
        },
        fences::next_fence,
        fleet::{
            CallerLimits, EngineConfig, EngineState, LoadedModel, ModelConfig, RequestKind, Route,
            RouteTarget, ServiceConfig, ServingConfig, UpstreamEntry, UpstreamState,
        },
        health::UpstreamHealth,
        known_routers::{KnownRouters, RouterProcess, routers_in_turn},
        outcome::{AttemptFailure, NextStep, next_step},
        own_response::{NamedRequest, RefusedRequests, is_own_response},
        planned_stop::{
            AnswerDurations, Confidence, ExpectedAnswer, PlannedStop, can_end_before_stop,
        },
        prompt_parts::{PartCounts, PartRefusal, SuspectParts},
        rate_limit::{RateLimit, pause_until_unix_ms},
        replicas::{EngineView, ModelView, Order, next_order},
        routes::{RouteTable, choose_service},
        spread::{
            GossipTarget, Peer, gossip_targets, random_targets, relay_targets,
            suspect_change_targets, suspect_query_targets, suspect_sample_targets,
        },
        stall::StallInputs,
        stream_holders::{
            HeldStreams, HolderPeers, OriginRecord, StreamKey, holders_asked, origin_holders,
        },
        stream_versions::{
            LIST_PROOF_RETRY_AFTER_MS, LIST_PROOF_WAIT_MS, ListCoverage, ListProof,
            ORIGIN_RETRY_MS, ORIGIN_WAIT_MS, RouteTargets, StreamId, StreamOrigin, StreamOrigins,
            VERSION_PROOF_AGE_MAX_MS, VersionHistory, assumed_version,
        },
        suspect_part::{
            FRESH_MS, PartCrash, PartCrashReport, PartReport, PromptPartId, SAME_CAUSE_MS,
        },
        suspects::{
            AGENT_CHANGE_SENDS, CrashId, CrashOutcome, LostRun, REPORT_ROUND_MS, REPORT_SAMPLE_MS,
            ROUTER_CHANGE_SENDS, SuspectCounts, SuspectReport, Suspects, UNLISTED_AFTER_MS,
            UpstreamIncarnation, is_proven_answer, request_fingerprint,
        },
        waiting::{KnownCopies, WaitDecision, WaitInputs, decide_wait, shortest_load_ms},
    };
}
