//! The watcher maintains a view of the watched prefix with a snapshot and a watch from the revision after it. It does no I/O and
//! reads no clock.
//!
//! The owner passes etcd's responses to [`Watcher::handle`], executes the [`Output`]s in order, and passes [`Input::Tick`] at the
//! time that [`Watcher::next_deadline`] returns, or soon after.
//!
//! **The view equals the store at [`Watcher::revision`]**: events are applied in order, exactly once, in complete revisions. A
//! failed stream is resumed from the next revision; fragments of an incomplete revision are discarded and delivered again. If
//! history is lost (compaction, a restored cluster, a different cluster), a new snapshot replaces the view, and
//! [`Output::UpdatesMissed`] reports for how long purges may have been missed. The safe reaction is to treat everything as purged.
//!
//! [`Output::PurgesConfirmed`] requires a linearizable read in addition to the watch; see `purge_confirmation`.
mod freshness;
mod message;
mod purge_confirmation;
mod request_state;
mod settings;
mod store_view;

pub use message::{Header, Input, KeyValue, Output, ViewFreshness, WatchEvent};
pub use settings::WatcherSettings;

use crate::layout::MemberRecord;
use freshness::Freshness;
use purge_confirmation::PurgeConfirmation;
use request_state::{Phase, RequestState};
use std::collections::BTreeMap;
use store_view::StoreView;

/// Microseconds on a monotonic clock of the owner's choice.
pub type Micros = u64;
/// Revision of etcd's store.
pub type Revision = i64;

/// State machine that reads a snapshot, watches for changes from its revision on, and starts over when history is lost.
///
/// Its memory is bounded by the number of stored endpoints and dispatchers and by the fragments of one revision. Dropping it needs
/// no cleanup other than cancelling the request in flight, which the owner does.
#[derive(Debug)]
pub struct Watcher {
    settings: WatcherSettings,
    store: StoreView,
    request: RequestState,
    purge_confirmation: PurgeConfirmation,
    /// Whether revisions between the view and the next snapshot may have been missed.
    history_lost: bool,
    freshness: Freshness,
}

impl Watcher {
    /// Creates a watcher without a view. `seed` seeds the backoff jitter.
    pub fn new(prefix: &str, settings: WatcherSettings, now: Micros, seed: u64) -> Self {
        Self {
            settings,
            store: StoreView::new(prefix),
            request: RequestState::new(now, seed),
            purge_confirmation: PurgeConfirmation::new(
                settings.purge_confirmation_interval_us,
                now,
            ),
            history_lost: false,
            freshness: Freshness::new(settings.stale_after_us, now),
        }
    }

    /// Revision of the view; 0 before the first snapshot.
    pub fn revision(&self) -> Revision {
        self.store.revision()
    }

    /// Endpoints of the view by address.
    pub fn endpoints(&self) -> &BTreeMap<String, MemberRecord> {
        self.store.endpoints()
    }

    /// Freshness of the view.
    pub fn view(&self) -> ViewFreshness {
        self.freshness.state()
    }

    /// Time at which [`Input::Tick`] is next due.
    pub fn next_deadline(&self) -> Micros {
        let deadlines = [
            self.freshness.next_deadline(),
            self.purge_confirmation.next_deadline(),
        ];
        deadlines
            .into_iter()
            .flatten()
            .fold(self.request.next_deadline(&self.settings), Micros::min)
    }

    /// Handles a response or a tick. `wall_ms` is the wall-clock time in milliseconds since the Unix epoch, used only to convert
    /// start times of endpoints to ages. If the wall clock was stepped, it is the earlier reading, which makes endpoints younger.
    pub fn handle(&mut self, now: Micros, wall_ms: u64, input: Input, out: &mut Vec<Output>) {
        if !matches!(input, Input::Tick | Input::PurgeMarkRead { .. }) {
            self.request.record_response(now);
        }
        match input {
            Input::Snapshot { header, keys } => {
                self.handle_snapshot(now, wall_ms, header, keys, out)
            }
            Input::WatchCreated { header } => self.handle_watch_created(now, header, out),
            Input::WatchEvents {
                header,
                events,
                fragment,
            } => {
                if self.accepts_watch_response(now, header, out) {
                    self.request.fragments.extend(events);
                    if !fragment {
                        self.apply_fragments(now, wall_ms, header, out);
                    }
                }
            }
            Input::Progress { header } => self.handle_progress(now, header, out),
            Input::Compacted => self.handle_lost_history(now, out),
            Input::Failed => self.request.back_off(now, &self.settings),
            Input::PurgeMarkRead { requested_at, mark } => {
                self.purge_confirmation.handle_response(requested_at, mark)
            }
            Input::Tick => self.handle_tick(now, out),
        }
        self.purge_confirmation
            .confirm(now, &self.store, self.history_lost, out);
        self.purge_confirmation.request_read(now, out);
    }

    fn handle_snapshot(
        &mut self,
        now: Micros,
        wall_ms: u64,
        header: Header,
        keys: Vec<KeyValue>,
        out: &mut Vec<Output>,
    ) {
        if self.request.phase != Phase::ReadingSnapshot {
            return;
        }
        let initial = self.store.is_empty();
        let other_history = !initial && !self.store.is_continued_by(header);
        let known_revision = if other_history { 0 } else { self.revision() };
        let records = self.store.parse_snapshot(keys, known_revision, out);
        // This includes the first snapshot: it lacks purges that were written and expired since the start of the watcher.
        if self.history_lost || other_history || initial {
            self.report_missed_updates(now, initial, out);
        }
        self.history_lost = false;
        self.store.replace(header, records, wall_ms, out);
        self.freshness.mark_complete(now, out);
        self.start_watch(now, out);
    }

    /// Reports that updates may have been missed since the view was last complete, extended by the response time-out for responses
    /// that were in flight at that time.
    fn report_missed_updates(&self, now: Micros, initial: bool, out: &mut Vec<Output>) {
        let since = self
            .freshness
            .complete_at()
            .saturating_sub(self.settings.response_timeout_us);
        out.push(Output::UpdatesMissed {
            age_us: now.saturating_sub(since),
            initial,
        });
    }

    fn handle_watch_created(&mut self, now: Micros, header: Header, out: &mut Vec<Output>) {
        if self.request.phase == Phase::OpeningWatch {
            self.request.watch_established();
            self.check_history(now, header, out);
        }
    }

    /// Applies the received events, which end with a complete revision. The view is complete only if it has reached the store's
    /// revision; otherwise a later progress notification confirms it.
    fn apply_fragments(
        &mut self,
        now: Micros,
        wall_ms: u64,
        header: Header,
        out: &mut Vec<Output>,
    ) {
        let events = std::mem::take(&mut self.request.fragments);
        self.store.apply(events, wall_ms, out);
        if self.revision() >= header.revision {
            self.freshness.mark_complete(now, out);
        }
    }

    /// Advances the view to the header's revision, unless fragments are pending: then the view is not complete.
    fn handle_progress(&mut self, now: Micros, header: Header, out: &mut Vec<Output>) {
        if self.accepts_watch_response(now, header, out) && self.request.fragments.is_empty() {
            self.store.advance_to(header.revision);
            self.freshness.mark_complete(now, out);
        }
    }

    fn accepts_watch_response(
        &mut self,
        now: Micros,
        header: Header,
        out: &mut Vec<Output>,
    ) -> bool {
        self.request.phase == Phase::Watching && self.check_history(now, header, out)
    }

    /// Whether the response continues the history of the view. If it does not, a new snapshot is read.
    fn check_history(&mut self, now: Micros, header: Header, out: &mut Vec<Output>) -> bool {
        let continued = self.store.is_continued_by(header);
        if !continued {
            self.handle_lost_history(now, out);
        }
        continued
    }

    fn handle_lost_history(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.request.fragments.clear();
        self.history_lost = true;
        if self.request.is_watch() {
            out.push(Output::CancelRequest);
            self.read_snapshot(now, out);
        }
    }

    fn read_snapshot(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.request.start(Phase::ReadingSnapshot, now);
        out.push(Output::ReadSnapshot);
    }

    fn start_watch(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.request.start(Phase::OpeningWatch, now);
        out.push(Output::StartWatch {
            start_revision: self.revision() + 1,
        });
    }

    fn handle_tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let Phase::Backoff { until } = self.request.phase {
            if now >= until {
                self.send_request(now, out);
            }
        } else if self.request.has_timed_out(now, &self.settings) {
            out.push(Output::CancelRequest);
            self.request.back_off(now, &self.settings);
        } else if self.request.take_progress_due(now, &self.settings) {
            out.push(Output::RequestProgress);
        }
        self.freshness.mark_stale_if_due(now, out);
    }

    fn send_request(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.history_lost || self.store.is_empty() {
            self.read_snapshot(now, out);
        } else {
            self.start_watch(now, out);
        }
    }
}
