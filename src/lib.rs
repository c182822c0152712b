//! The decision logic of a traffic router for a two-tier cache.
//!
//! A [`Router`] handles events ([`Event`]) and returns actions ([`Action`]). It decides which cache gets a request,
//! where a miss is filled from, how old a copy may be, and what follows a failure. It does no I/O, reads no clock and
//! shares no state: the same settings, seed and events give the same actions.
//!
//! The design is *stale-if-error*: every cacheable response is cached, accepted up to its fresh time and revalidated
//! after it. If a fill from the upper tier fails, the cached copy is served within the stale-if-error time, but a
//! copy older than a purge is never served. See `docs/design.md`.
//!
//! ```
//! use pointspindle::*;
//!
//! let slow_start = SlowStartRule { initial_share: 0.2, ramp: 10_000_000, overload_factor: 2.0, overload_window: 1_000_000 };
//! let settings = RouterSettings {
//!     zone: 1,
//!     zones: vec![Zone { routers: 0 }, Zone { routers: 1 }],
//!     routers: 1,
//!     router_index: Some(0),
//!     classes: vec![RequestClass {
//!         latency_objective: 300_000, objective_stretch: 2.0, priority_weight: 1.0,
//!         idempotency: Idempotency::Idempotent, uncacheable: false, fresh_for: 12_000_000, stale_if_error: 20_000_000,
//!     }],
//!     parent_kind: Some(1),
//!     origin_kind: Some(2),
//!     weights: Weights::Nominal,
//!     cache_status_detail: CacheStatusDetail::All,
//!     siblings: Siblings::Any,
//!     direct_forwarding: false,
//!     coalesces_fills: true,
//!     may_cancel: true,
//!     retry_after: true,
//!     max_retry_after: 1_000_000,
//!     max_attempts: 6,
//!     stream_kb_per_s: 6000.0,
//!     cache_slow_start: slow_start,
//!     parent_slow_start: slow_start,
//!     purge_horizon: 6_000_000,
//!     max_known_copies: DEFAULT_MAX_KNOWN_COPIES,
//! };
//! let mut router = Router::new(settings, 42);
//! let mut actions = Vec::new();
//! let endpoint = |name, zone, kind| EndpointEntry {
//!     id: EndpointId::named(name), state: EndpointState::Ready, weight: 4.0, zone, kind, cell: 0, started_at: 0,
//! };
//! let entries = vec![endpoint("cache", 1, 0), endpoint("parent", 0, 1), endpoint("origin", 0, 2)];
//! router.handle(0, Event::EndpointList { update: ListUpdate::Full, entries }, &mut actions);
//! router.handle(1_000, Event::Request(Request {
//!     id: RequestId(7), class: 0, object: ObjectId::named("page"), part: 0, group: 3,
//!     time_left: 2_500_000, size_kb: Some(300.0), idempotency_key: None,
//! }), &mut actions);
//! let sent = actions.iter().find_map(|action| match action {
//!     Action::Send { endpoint, fetch: Some(fetch), .. } => Some((*endpoint, fetch.source)),
//!     _ => None,
//! });
//! assert_eq!(sent, Some((EndpointId::named("cache"), EndpointId::named("parent"))));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_debug_implementations)]
#![warn(missing_docs)]

mod action;
mod event;
mod ids;
mod router;
mod settings;

pub use action::{Action, FetchDirective};
pub use event::{
    AttemptOutcome, AttemptStatus, CacheStatus, EndpointEntry, EndpointState, Event, ListUpdate,
    Request,
};
pub use ids::{EndpointId, IdempotencyKey, Micros, ObjectId, RequestId};
pub use router::Router;
pub use settings::{
    CacheStatusDetail, FleetPosition, Idempotency, KeyScope, RequestClass, RouterSettings,
    Siblings, SlowStartRule, Weights, Zone, DEFAULT_MAX_KNOWN_COPIES, KNOWN_COPY_BYTES,
};
