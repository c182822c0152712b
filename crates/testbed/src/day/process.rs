//! Dispatchers as processes of their own.
use super::{loopback, TestbedError};
use pointspindle_fleet_model::dispatcher_settings::{dispatcher_ini, ListenAddresses};
use pointspindle_scenario::Scenario;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};

/// Longest wait for a process to listen, and to end after it was told to.
const PATIENCE: Duration = Duration::from_secs(15);

/// The dispatcher's own local address for connections to members: how members tell who sent an attempt.
pub fn source_ip(dispatcher: usize) -> IpAddr {
    loopback(100, dispatcher)
}

/// Listeners stand on other addresses than outgoing connections, so that a port is free again at a restart.
pub fn listen_ip(dispatcher: usize) -> IpAddr {
    loopback(150, dispatcher)
}

#[derive(Debug)]
pub struct Process {
    number: usize,
    program: PathBuf,
    folder: PathBuf,
    pub doors: ListenAddresses,
    child: Option<Child>,
    /// It was told to stop and may not be gone yet.
    leaving: bool,
    etcd: Option<String>,
}

#[derive(serde::Deserialize)]
struct Bound {
    http: Option<SocketAddr>,
    framed: Option<SocketAddr>,
    control: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
}

impl Process {
    pub fn new(program: &Path, folder: &Path, number: usize, etcd: Option<String>) -> Self {
        let any = SocketAddr::new(listen_ip(number), 0);
        let doors = ListenAddresses {
            http: any,
            framed: any,
            control: any,
            metrics: any,
        };
        Self {
            number,
            program: program.into(),
            folder: folder.into(),
            doors,
            child: None,
            leaving: false,
            etcd,
        }
    }

    fn file(&self, what: &str) -> PathBuf {
        self.folder
            .join(format!("dispatcher-{}.{what}", self.number))
    }

    /// Starts it and waits until it listens; one that is still leaving, when it is gone.
    pub async fn start(&mut self, scenario: &Scenario) -> Result<(), TestbedError> {
        self.gone().await?;
        let (settings, ready) = (self.file("ini"), self.file("ready"));
        let bind = source_ip(self.number).to_string();
        let text = dispatcher_ini(
            scenario,
            self.number,
            &self.doors,
            &bind,
            &self.file("state"),
            self.etcd.as_deref(),
        );
        std::fs::write(&settings, text)?;
        let _ = std::fs::remove_file(&ready);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.file("log"))?;
        let mut command = Command::new(&self.program);
        command
            .arg("--log-json")
            .arg("serve")
            .arg(&settings)
            .arg("--ready-file")
            .arg(&ready);
        command
            .arg("--seed")
            .arg((scenario.seed ^ self.number as u64).to_string());
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let wait = async {
            loop {
                if let Ok(bytes) = std::fs::read(&ready) {
                    return Ok(bytes);
                }
                if let Some(status) = child.try_wait()? {
                    let log = std::fs::read_to_string(self.file("log")).unwrap_or_default();
                    let last = log.lines().last().unwrap_or_default();
                    return Err(TestbedError::Dispatcher(
                        self.number,
                        format!("{status}: {last}"),
                    ));
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let bytes = tokio::time::timeout(PATIENCE, wait)
            .await
            .map_err(|_| TestbedError::Dispatcher(self.number, "does not listen".into()))??;
        let bound: Bound = serde_json::from_slice(&bytes).map_err(std::io::Error::other)?;
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
        self.child = Some(child);
        Ok(())
    }

    pub fn is_up(&self) -> bool {
        self.child.is_some() && !self.leaving
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    async fn signal(&self, name: &str) -> Result<(), TestbedError> {
        let Some(pid) = self.child.as_ref().and_then(Child::id) else {
            return Ok(());
        };
        let told = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(pid.to_string())
            .status()
            .await?;
        let failed = || TestbedError::Dispatcher(self.number, format!("cannot be sent {name}"));
        told.success().then_some(()).ok_or_else(failed)
    }

    /// It stands still, or goes on: as a process that gets no processor.
    pub async fn hang(&self, hung: bool) -> Result<(), TestbedError> {
        self.signal(if hung { "STOP" } else { "CONT" }).await
    }

    /// Tells it to stop, as an operator would, and does not wait.
    pub async fn tell_to_stop(&mut self) -> Result<(), TestbedError> {
        self.signal("TERM").await?;
        self.leaving = self.child.is_some();
        Ok(())
    }

    /// Waits until one that was told to stop is gone; its exit must be clean.
    async fn gone(&mut self) -> Result<(), TestbedError> {
        if !std::mem::take(&mut self.leaving) {
            return Ok(());
        }
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        match tokio::time::timeout(PATIENCE, child.wait()).await {
            Ok(Ok(status)) if status.success() => Ok(()),
            Ok(Ok(status)) => Err(TestbedError::Dispatcher(
                self.number,
                format!("ended with {status}"),
            )),
            Ok(Err(e)) => Err(e.into()),
            Err(_) => {
                child.kill().await?;
                Err(TestbedError::Dispatcher(
                    self.number,
                    "did not stop when told to".into(),
                ))
            }
        }
    }

    /// Kills it outright.
    pub async fn kill(&mut self) -> Result<(), TestbedError> {
        self.leaving = false;
        if let Some(mut child) = self.child.take() {
            child.kill().await?;
        }
        Ok(())
    }

    /// Tells it to stop, as an operator would; its exit must be clean.
    pub async fn stop(&mut self) -> Result<(), TestbedError> {
        if self.is_up() {
            self.hang(false).await?;
            self.tell_to_stop().await?;
        }
        self.gone().await
    }
}
