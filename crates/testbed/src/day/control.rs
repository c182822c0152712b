//! The control stand-in: tells dispatchers what the book says, when it says so.
use crate::sockets::EmulatedHosts;
use pointspindle::{Micros, ObjectId};
use pointspindle_audit::trace::{Recorder, TraceEvent};
use pointspindle_fleet_model::control_plane::{self, ControlPlane, ControlUpdate, ListedEndpoint};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_scenario::fault_injection::InjectedFault;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Network};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// News for the book.
pub enum News {
    Change(ListedEndpoint),
    Purge {
        object: Option<String>,
        group: u64,
    },
    Delay {
        more: Micros,
        until: Micros,
    },
    Down {
        dispatcher: usize,
    },
    /// It listens; answered once it has been told the whole list.
    Up {
        dispatcher: usize,
        at: SocketAddr,
        done: oneshot::Sender<()>,
    },
}

pub struct Control {
    pub book: ControlPlane,
    pub stage: EmulatedHosts,
    pub recorder: Recorder,
    /// By member: role and zone, for list lines.
    pub members: HashMap<usize, (String, String, f64)>,
    pub plant: Option<InjectedFault>,
    pub net: Network,
}

impl Control {
    pub async fn run(mut self, mut news: mpsc::UnboundedReceiver<News>) {
        let mut links: HashMap<usize, FramedConnection> = HashMap::new();
        let mut waiting: HashMap<usize, oneshot::Sender<()>> = HashMap::new();
        loop {
            let now = self.recorder.now();
            for (dispatcher, told) in self.book.take_due(now) {
                if let Some(link) = links.get(&dispatcher) {
                    self.tell(dispatcher, link, told).await;
                }
                if let Some(done) = waiting.remove(&dispatcher) {
                    let _ = done.send(());
                }
            }
            let wait = self
                .book
                .next_due()
                .map(|at| Duration::from_micros(at.saturating_sub(now)));
            let next = tokio::select! {
                next = news.recv() => next,
                _ = tokio::time::sleep(wait.unwrap_or(Duration::from_secs(3_600))) => continue,
            };
            let now = self.recorder.now();
            match next {
                None => return,
                Some(News::Change(line)) => self.book.update_endpoint(now, line),
                Some(News::Purge { object, group }) => self.book.purge(now, object, group),
                Some(News::Delay { more, until }) => self.book.delay_updates(more, until),
                Some(News::Down { dispatcher }) => {
                    self.book.disconnect(dispatcher);
                    if let Some(link) = links.remove(&dispatcher) {
                        link.close("the dispatcher is gone");
                    }
                }
                Some(News::Up {
                    dispatcher,
                    at,
                    done,
                }) => {
                    let connected =
                        tokio::time::timeout(Duration::from_secs(2), self.net.connect(None, at))
                            .await;
                    let Ok(Ok(socket)) = connected else {
                        tracing::error!(dispatcher, "control cannot connect");
                        continue;
                    };
                    let (link, mut incoming) =
                        FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
                    tokio::spawn(async move { while incoming.next().await.is_some() {} });
                    links.insert(dispatcher, link);
                    waiting.insert(dispatcher, done);
                    self.book.connect(now, dispatcher);
                }
            }
        }
    }

    async fn tell(&mut self, dispatcher: usize, link: &FramedConnection, told: ControlUpdate) {
        let now = self.recorder.now();
        let (frame, saw, hidden) = match told {
            ControlUpdate::Purge { object, group, at } => {
                let number = object.as_deref().map(|o| ObjectId::named(o).0);
                // Of a group: what every object of it has at least.
                let version_from = self
                    .stage
                    .with_model(|w| w.current_version(number.unwrap_or(0), group));
                let age_us = now.saturating_sub(at);
                let head = PurgeHead {
                    object,
                    group,
                    age_us,
                    seq: 0,
                };
                (
                    Frame::Purge(head),
                    TraceEvent::PurgeDelivered {
                        dispatcher,
                        object: number,
                        group,
                        version_from,
                    },
                    false,
                )
            }
            ControlUpdate::Delta(seq, lines) => {
                self.list(dispatcher, EndpointListForm::Delta, seq, lines, now)
            }
            ControlUpdate::Full(seq, lines) => {
                self.list(dispatcher, EndpointListForm::Full, seq, lines, now)
            }
        };
        // Seen as told before it can take effect.
        self.recorder.record(saw);
        if !hidden {
            let _ = link.control(frame).await;
        }
    }

    fn list(
        &self,
        dispatcher: usize,
        form: EndpointListForm,
        seq: u64,
        lines: Vec<ListedEndpoint>,
        now: Micros,
    ) -> (Frame, TraceEvent, bool) {
        let member = |host| {
            let (kind, zone, weight) = self.members.get(&host)?;
            Some((kind.as_str(), zone.as_str(), *weight))
        };
        let told =
            control_plane::list_update(dispatcher, form, seq, &lines, now, self.plant, member);
        (Frame::EndpointList(told.head), told.event, told.withheld)
    }
}
