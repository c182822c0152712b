//! The decisions of a traffic router for a two-tier cache.
//!
//! A [`Router`] is told what happens ([`Event`]) and says what to do ([`Action`]): which cache gets a request,
//! where a miss is filled from, how old a copy may be, and what follows a failure. It does no input or output,
//! reads no clock and shares nothing: the same settings, seed and events give the same actions.
//!
//! The design is *stale on upstream error*: every cacheable copy is kept, accepted up to its fresh time and
//! renewed cheaply after it; when a fill from the tier above fails, the held copy answers within the grace,
//! never one older than a purge. See `docs/design.md`.
//!
//! ```
//! use pointspindle::*;
//!
//! let cold = ColdRule { start_share: 0.2, warm_within: 10_000_000, multiple: 2.0, window: 1_000_000 };
//! let settings = Settings {
//!     zone: 1,
//!     zones: vec![Zone { routers: 0 }, Zone { routers: 1 }],
//!     routers: 1,
//!     me: Some(0),
//!     classes: vec![Class {
//!         aim: 300_000, aim_stretch: 2.0, worth: 1.0,
//!         repeat: Repeat::Safe, uncacheable: false, fresh: 12_000_000, grace: 20_000_000,
//!     }],
//!     parent_kind: Some(1),
//!     origin_kind: Some(2),
//!     weights: Weights::Nominal,
//!     notes: Notes::All,
//!     siblings: Siblings::Any,
//!     straight: false,
//!     joins: true,
//!     may_cancel: true,
//!     retry_after: true,
//!     max_retry_after: 1_000_000,
//!     max_attempts: 6,
//!     stream_kb_per_s: 6000.0,
//!     cold_cache: cold,
//!     cold_parent: cold,
//!     purge_done: 6_000_000,
//! };
//! let mut router = Router::new(settings, 42);
//! let mut actions = Vec::new();
//! let member = |name, zone, kind| MemberEntry {
//!     id: MemberId::named(name), state: MemberState::Ready, weight: 4.0, zone, kind, cell: 0, started: 0,
//! };
//! let entries = vec![member("cache", 1, 0), member("parent", 0, 1), member("origin", 0, 2)];
//! router.handle(0, Event::Members { update: ListUpdate::Full, entries }, &mut actions);
//! router.handle(1_000, Event::Request(Request {
//!     id: RequestId(7), class: 0, object: ObjectId::named("page"), part: 0, group: 3,
//!     left: 2_500_000, kb: Some(300.0),
//! }), &mut actions);
//! let sent = actions.iter().find_map(|action| match action {
//!     Action::Send { member, fetch: Some(fetch), .. } => Some((*member, fetch.source)),
//!     _ => None,
//! });
//! assert_eq!(sent, Some((MemberId::named("cache"), MemberId::named("parent"))));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_debug_implementations)]

mod interface;
mod logic;
mod roles;

pub use interface::*;
pub use logic::Router;
