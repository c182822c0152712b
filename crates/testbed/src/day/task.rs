//! Dispatchers in this process, on the simulated network: the same shell, another carrier.
use super::process::{listen_ip, source_ip, Process};
use super::TestbedError;
use pointspindle_dispatcher::Dispatcher;
use pointspindle_fleet_model::dispatcher_settings::{dispatcher_ini, ListenAddresses};
use pointspindle_scenario::Scenario;
use pointspindle_transport::simulated::SimulatedNetwork;
use pointspindle_transport::Network;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A dispatcher of the day.
pub enum Seat {
    Process(Process),
    Task(Task),
}

pub struct Task {
    number: usize,
    folder: PathBuf,
    net: SimulatedNetwork,
    doors: ListenAddresses,
    up: Option<(Dispatcher, SimulatedNetwork)>,
}

impl Task {
    pub fn new(net: SimulatedNetwork, folder: &Path, number: usize) -> Self {
        let any = SocketAddr::new(listen_ip(number), 0);
        let doors = ListenAddresses {
            http: any,
            framed: any,
            control: any,
            metrics: any,
        };
        Self {
            number,
            folder: folder.into(),
            net,
            doors,
            up: None,
        }
    }

    fn failed(&self, why: impl std::fmt::Display) -> TestbedError {
        TestbedError::Dispatcher(self.number, why.to_string())
    }

    async fn start(&mut self, scenario: &Scenario) -> Result<(), TestbedError> {
        let bind = source_ip(self.number).to_string();
        let state = self
            .folder
            .join(format!("dispatcher-{}.state", self.number));
        let text = dispatcher_ini(scenario, self.number, &self.doors, &bind, &state, None);
        let settings = pointspindle_config::parse("settings", &text).map_err(|e| self.failed(e))?;
        let life = self.net.incarnation();
        let seed = scenario.seed ^ self.number as u64;
        let started = Dispatcher::start_on(Network::Simulated(life.clone()), settings, seed).await;
        let dispatcher = started.map_err(|e| self.failed(e))?;
        let bound = dispatcher.bound_addresses();
        if let (Some(http), Some(framed), Some(control), Some(metrics)) =
            (bound.http, bound.framed, bound.control, bound.metrics)
        {
            self.doors = ListenAddresses {
                http,
                framed,
                control,
                metrics,
            };
        }
        self.up = Some((dispatcher, life));
        Ok(())
    }

    /// As a process that ends in the middle of everything: nothing of it connects any more, its connections break.
    fn kill(&mut self) {
        if let Some((dispatcher, life)) = self.up.take() {
            life.end();
            drop(dispatcher);
            self.net.cut(source_ip(self.number));
            self.net.cut(listen_ip(self.number));
        }
    }

    async fn stop(&mut self) -> Result<(), TestbedError> {
        let Some((dispatcher, life)) = self.up.take() else {
            return Ok(());
        };
        let drained = dispatcher.stop().await;
        life.end();
        drained
            .then_some(())
            .ok_or_else(|| self.failed("some requests had no answer when it stopped"))
    }
}

impl Seat {
    pub fn doors(&self) -> ListenAddresses {
        match self {
            Self::Process(p) => p.doors,
            Self::Task(t) => t.doors,
        }
    }

    pub async fn start(&mut self, scenario: &Scenario) -> Result<(), TestbedError> {
        match self {
            Self::Process(p) => p.start(scenario).await,
            Self::Task(t) => t.start(scenario).await,
        }
    }

    pub fn is_up(&self) -> bool {
        match self {
            Self::Process(p) => p.is_up(),
            Self::Task(t) => t.up.is_some(),
        }
    }

    pub async fn kill(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(p) => p.kill().await,
            Self::Task(t) => {
                t.kill();
                Ok(())
            }
        }
    }

    /// Told to stop, and not started again yet.
    pub fn is_leaving(&self) -> bool {
        matches!(self, Self::Process(p) if p.is_leaving())
    }

    /// Days that need these are not played on the simulated network.
    pub async fn hang(&mut self, hung: bool) -> Result<(), TestbedError> {
        match self {
            Self::Process(p) => p.hang(hung).await,
            Self::Task(t) => Err(t.failed("cannot be held still")),
        }
    }

    pub async fn tell_to_stop(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(p) => p.tell_to_stop().await,
            Self::Task(t) => Err(t.failed("cannot be stopped while the day goes on")),
        }
    }

    pub async fn stop(&mut self) -> Result<(), TestbedError> {
        match self {
            Self::Process(p) => p.stop().await,
            Self::Task(t) => t.stop().await,
        }
    }
}
