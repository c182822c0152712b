//! Carries a [`Watcher`]'s wishes out against etcd and hands on what comes of them.
//!
//! One question at a time: a snapshot or a watch, each a task that is aborted when the watcher gives it up. What an aborted one
//! had still said is not listened to.
use crate::client::{after, Etcd, EtcdError};
use crate::layout;
use crate::proto::{
    self, watch_request, WatchCreateRequest, WatchProgressRequest, WatchRequest, WatchResponse,
};
use crate::watcher::{Change, Header, Input, KeyValue, Micros, Output, Revision, Watcher};
use futures_util::StreamExt;
use pointspindle_clock::WallClock;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Answers to questions beside the one under way: never given up with it.
const BESIDE: u64 = u64::MAX;
/// Answers of etcd that wait to be handled; the stream waits beyond that.
const QUEUE: usize = 64;

struct Asked {
    number: u64,
    task: AbortHandle,
    /// Of a watch: where requests for progress go.
    progress: Option<mpsc::Sender<WatchRequest>>,
}

impl Drop for Asked {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Runs until `tell` says that nobody listens any more (false). `prefix` as in [`layout`].
pub async fn run(
    etcd: Etcd,
    prefix: String,
    mut watcher: Watcher,
    mut tell: impl FnMut(Output) -> bool,
) {
    let (born, clock) = (Instant::now(), WallClock::start());
    let (sender, mut said) = mpsc::channel(QUEUE);
    let mut asked: Option<Asked> = None;
    let mut number = 0;
    let watched = layout::watched(&prefix);
    loop {
        let wait = Duration::from_micros(
            watcher
                .next()
                .saturating_sub(born.elapsed().as_micros() as Micros),
        );
        let input = tokio::select! {
            said = said.recv() => said,
            () = tokio::time::sleep(wait) => Some((number, Input::Tick)),
        };
        // Never: a sender is kept here.
        let Some((of, input)) = input else { return };
        if of != number && of != BESIDE {
            continue;
        }
        let mut out = Vec::new();
        watcher.handle(
            born.elapsed().as_micros() as Micros,
            clock.earlier_ms(),
            input,
            &mut out,
        );
        for output in out {
            match output {
                Output::AskSnapshot => {
                    number += 1;
                    let task = snapshot(etcd.clone(), watched.clone(), number, sender.clone());
                    asked = Some(Asked {
                        number,
                        task: tokio::spawn(task).abort_handle(),
                        progress: None,
                    });
                }
                Output::AskWatch { from } => {
                    number += 1;
                    let (progress, requests) = mpsc::channel(4);
                    let task = watch(
                        etcd.clone(),
                        watched.clone(),
                        from,
                        requests,
                        number,
                        sender.clone(),
                    );
                    let task = tokio::spawn(task).abort_handle();
                    asked = Some(Asked {
                        number,
                        task,
                        progress: Some(progress),
                    });
                }
                Output::AskProgress => {
                    let progress = asked
                        .as_ref()
                        .filter(|a| a.number == number)
                        .and_then(|a| a.progress.as_ref());
                    if let Some(progress) = progress {
                        let request = watch_request::Request::Progress(WatchProgressRequest {});
                        let _ = progress.try_send(WatchRequest {
                            request: Some(request),
                        });
                    }
                }
                Output::AskMark { asked } => {
                    tokio::spawn(mark(
                        etcd.clone(),
                        layout::purge_mark(&prefix),
                        asked,
                        sender.clone(),
                    ));
                }
                Output::Hang => {
                    number += 1;
                    asked = None;
                }
                told => {
                    if !tell(told) {
                        return;
                    }
                }
            }
        }
    }
}

fn header(h: Option<proto::ResponseHeader>) -> Header {
    let h = h.unwrap_or_default();
    Header {
        cluster: h.cluster_id,
        revision: h.revision,
    }
}

/// Ends with its call's own patience.
async fn mark(etcd: Etcd, key: String, asked: Micros, said: mpsc::Sender<(u64, Input)>) {
    let read = etcd
        .range(proto::RangeRequest {
            key: key.into_bytes(),
            ..Default::default()
        })
        .await;
    let told = |r: proto::RangeResponse| {
        let cluster = header(r.header).cluster;
        (cluster, r.kvs.first().map_or(0, |kv| kv.mod_revision))
    };
    let read = read
        .map(told)
        .map_err(|e| tracing::debug!(error = %e, "etcd: the purges' mark is not read"));
    let _ = said
        .send((
            BESIDE,
            Input::Mark {
                asked,
                read: read.ok(),
            },
        ))
        .await;
}

async fn snapshot(etcd: Etcd, prefix: String, number: u64, said: mpsc::Sender<(u64, Input)>) {
    let input = match etcd.snapshot(&prefix).await {
        Ok(read) => {
            let key = |kv: proto::KeyValue| KeyValue {
                key: kv.key,
                value: kv.value,
                mod_revision: kv.mod_revision,
            };
            Input::Snapshot {
                header: header(Some(read.header)),
                keys: read.keys.into_iter().map(key).collect(),
            }
        }
        Err(e) => {
            tracing::warn!(error = %e, "etcd: no snapshot");
            Input::Broken
        }
    };
    let _ = said.send((number, input)).await;
}

async fn watch(
    etcd: Etcd,
    prefix: String,
    from: Revision,
    progress: mpsc::Receiver<WatchRequest>,
    number: u64,
    said: mpsc::Sender<(u64, Input)>,
) {
    let create = WatchCreateRequest {
        range_end: after(prefix.as_bytes()),
        key: prefix.into_bytes(),
        start_revision: from,
        progress_notify: true,
        fragment: true,
        ..Default::default()
    };
    let create = WatchRequest {
        request: Some(watch_request::Request::Create(create)),
    };
    let more = futures_util::stream::unfold(progress, |mut progress| async move {
        progress.recv().await.map(|request| (request, progress))
    });
    let requests = futures_util::stream::once(async move { create }).chain(more);
    let (at, why) = match etcd.watch(requests).await {
        Ok((at, mut answers)) => loop {
            let why = match answers.message().await {
                Ok(Some(answer)) => match input(answer) {
                    Ok(input) => {
                        let lost = input == Input::Compacted;
                        if said.send((number, input)).await.is_err() || lost {
                            return;
                        }
                        continue;
                    }
                    Err(why) => why,
                },
                Ok(None) => "the stream ended".to_owned(),
                Err(status) => status.to_string(),
            };
            break (at, why);
        },
        Err((_, EtcdError::Compacted)) => {
            let _ = said.send((number, Input::Compacted)).await;
            return;
        }
        Err((at, e)) => (at, e.to_string()),
    };
    tracing::info!(why, "etcd: the watch broke");
    etcd.turn_away(at);
    let _ = said.send((number, Input::Broken)).await;
}

/// An answer of a watch in the watcher's terms; or why the watch is over.
fn input(answer: WatchResponse) -> Result<Input, String> {
    let header = header(answer.header);
    if answer.compact_revision > 0 {
        return Ok(Input::Compacted);
    }
    if answer.canceled {
        return Err(format!("cancelled by etcd: {}", answer.cancel_reason));
    }
    if answer.created {
        return Ok(Input::Created { header });
    }
    if answer.events.is_empty() && !answer.fragment {
        return Ok(Input::Progress { header });
    }
    let change = |event: proto::Event| {
        let kv = event.kv?;
        Some(match event.r#type {
            1 => Change::Delete {
                key: kv.key,
                mod_revision: kv.mod_revision,
            },
            _ => Change::Put(KeyValue {
                key: kv.key,
                value: kv.value,
                mod_revision: kv.mod_revision,
            }),
        })
    };
    let changes = answer.events.into_iter().filter_map(change).collect();
    Ok(Input::News {
        header,
        changes,
        fragment: answer.fragment,
    })
}
