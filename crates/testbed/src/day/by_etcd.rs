//! The control stand-in by etcd: writes what becomes true, and does not mind who watches. What is written counts as told to all at
//! once: dispatchers have to learn of it within the rules' graces, over streams that break.
use super::control::News;
use crate::sockets::EmulatedHosts;
use pointspindle::ObjectId;
use pointspindle_audit::trace::{Recorder, TraceEvent};
use pointspindle_cache_model::HostSpec;
use pointspindle_etcd::layout::{MemberRecord, PurgeRecord, State};
use pointspindle_etcd::{writer, Access, Etcd};
use pointspindle_etcd_emulator::EtcdEmulator;
use pointspindle_fleet_model::control_plane::{self, ListedEndpoint};
use pointspindle_fleet_model::dispatcher_settings::ETCD_PREFIX;
use pointspindle_protocol::EndpointListForm;
use pointspindle_scenario::script::ListedState;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// A stand-in etcd that is never well for long.
pub struct Flapping {
    pub endpoint: String,
    etcd: Etcd,
}

impl Flapping {
    pub async fn start() -> std::io::Result<Self> {
        let stand_in = EtcdEmulator::new(None);
        let endpoint = format!("http://{}", stand_in.listen().await?);
        let access = Access {
            endpoints: vec![endpoint.clone()],
            ..Default::default()
        };
        let etcd = Etcd::new(&access, Duration::from_secs(2)).map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            let mut dice = StdRng::seed_from_u64(1);
            loop {
                tokio::time::sleep(Duration::from_millis(dice.gen_range(100..700))).await;
                stand_in.drop_streams();
                if dice.gen_bool(0.3) {
                    // While they are away: what was not heard is gone.
                    tokio::time::sleep(Duration::from_millis(dice.gen_range(0..8))).await;
                    stand_in.compact();
                }
            }
        });
        Ok(Self { endpoint, etcd })
    }
}

pub struct ByEtcd {
    etcd: Etcd,
    stage: EmulatedHosts,
    recorder: Recorder,
    members: HashMap<usize, (String, String, f64)>,
    lines: Vec<ListedEndpoint>,
    dispatchers: usize,
}

impl ByEtcd {
    /// Writes the members that run from the start.
    pub async fn new(
        etcd: &Flapping,
        stage: EmulatedHosts,
        recorder: Recorder,
        members: HashMap<usize, (String, String, f64)>,
        hosts: &[HostSpec],
        dispatchers: usize,
    ) -> std::io::Result<Self> {
        let line = |(host, spec): (usize, &HostSpec)| ListedEndpoint {
            host,
            address: spec.address.clone(),
            state: ListedState::Ready,
            incarnation: 1,
            started_at: None,
        };
        let lines: Vec<ListedEndpoint> = hosts.iter().enumerate().map(line).collect();
        let control = Self {
            etcd: etcd.etcd.clone(),
            stage,
            recorder,
            members,
            lines,
            dispatchers,
        };
        for line in &control.lines {
            control.write(line).await.map_err(std::io::Error::other)?;
        }
        Ok(control)
    }

    async fn write(&self, line: &ListedEndpoint) -> Result<(), writer::WriteError> {
        let (kind, zone, weight) = self.members.get(&line.host).cloned().unwrap_or_default();
        let ago = line
            .started_at
            .map(|at| self.recorder.now().saturating_sub(at));
        let state = match line.state {
            ListedState::Ready => Some(State::Ready),
            ListedState::Draining => Some(State::Draining),
            ListedState::Removed => None,
        };
        let record = state.map(|state| MemberRecord {
            state,
            weight,
            zone,
            kind,
            cell: 0,
            start: line.incarnation,
            started_unix_ms: ago
                .map(|ago| pointspindle_clock::wall_clock_unix_ms().saturating_sub(ago / 1_000)),
        });
        writer::member(&self.etcd, ETCD_PREFIX, &line.address, |_| {
            Ok(record.clone())
        })
        .await
        .map(drop)
    }

    fn saw_lines(&self, dispatcher: usize, form: EndpointListForm, lines: &[ListedEndpoint]) {
        let nobody = |_| None;
        self.recorder.record(
            control_plane::list_update(
                dispatcher,
                form,
                0,
                lines,
                self.recorder.now(),
                None,
                nobody,
            )
            .event,
        );
    }

    pub async fn run(mut self, mut news: mpsc::UnboundedReceiver<News>) {
        while let Some(news) = news.recv().await {
            match news {
                News::Change(line) => {
                    self.lines.retain(|l| l.host != line.host);
                    self.lines.push(line.clone());
                    let written = self.write(&line).await;
                    for dispatcher in 0..self.dispatchers {
                        self.saw_lines(
                            dispatcher,
                            EndpointListForm::Delta,
                            std::slice::from_ref(&line),
                        );
                    }
                    if let Err(e) = written {
                        tracing::error!(error = %e, "a member cannot be written");
                    }
                }
                News::Purge { object, group } => {
                    let number = object.as_deref().map(|o| ObjectId::named(o).0);
                    let version_from = self
                        .stage
                        .with_model(|w| w.current_version(number.unwrap_or(0), group));
                    let record = PurgeRecord { object, group };
                    let written = writer::purge(&self.etcd, ETCD_PREFIX, &record).await;
                    for dispatcher in 0..self.dispatchers {
                        self.recorder.record(TraceEvent::PurgeDelivered {
                            dispatcher,
                            object: number,
                            group,
                            version_from,
                        });
                    }
                    if let Err(e) = written {
                        tracing::error!(error = %e, "a purge cannot be written");
                    }
                }
                // It has read everything before it listened.
                News::Up {
                    dispatcher, done, ..
                } => {
                    self.saw_lines(dispatcher, EndpointListForm::Full, &self.lines);
                    let _ = done.send(());
                }
                News::Down { .. } | News::Delay { .. } => {}
            }
        }
    }
}
