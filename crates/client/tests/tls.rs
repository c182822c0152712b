//! TLS over both protocols: complete responses, rejection of certificates with a reason, and reload of certificates.
use bytes::Bytes;
use pointspindle_client::{
    CallEvent, CertificateFiles, Client, ClientTls, Outcome, Request, RetryPolicy,
};
use pointspindle_dispatcher::{BoundAddresses, Dispatcher};
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::*;
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound};
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, KeyPair};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpListener;

/// Size of a body that exceeds all buffers between sender and client, so that flow control blocks the sender.
const LARGE_BODY_BYTES: usize = 8 * 1024 * 1024;

#[derive(Clone, Copy, Debug)]
enum Protocol {
    Framed,
    Http,
}

struct Authority {
    certificate: Certificate,
    key: KeyPair,
    folder: PathBuf,
}

impl Authority {
    fn new(folder: &Path, name: &str) -> Self {
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let mut params = CertificateParams::new(vec![]).unwrap();
        params
            .distinguished_name
            .push(rcgen::DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap();
        std::fs::write(folder.join("authority.pem"), certificate.pem()).unwrap();
        Self {
            certificate,
            key,
            folder,
        }
    }

    fn file(&self) -> PathBuf {
        self.folder.join("authority.pem")
    }

    fn sign(&self, file: &str, customize: impl FnOnce(&mut CertificateParams)) -> CertificateFiles {
        let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        customize(&mut params);
        let key = KeyPair::generate().unwrap();
        let certificate = params
            .signed_by(&key, &self.certificate, &self.key)
            .unwrap();
        let files = CertificateFiles {
            certificate: self.folder.join(format!("{file}.pem")),
            key: self.folder.join(format!("{file}.key")),
        };
        std::fs::write(&files.certificate, certificate.pem()).unwrap();
        std::fs::write(&files.key, key.serialize_pem()).unwrap();
        files
    }
}

fn large_body() -> Bytes {
    (0..LARGE_BODY_BYTES)
        .map(|n| (n * 31 % 251) as u8)
        .collect::<Vec<u8>>()
        .into()
}

async fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (_connection, mut incoming) =
                    FramedConnection::start(socket, Side::Responder, ConnectionOptions::default());
                while let Some(inbound) = incoming.next().await {
                    let Inbound::Request(head, mut responder) = inbound else {
                        continue;
                    };
                    tokio::spawn(async move {
                        let body = if head.object == "/large" {
                            large_body()
                        } else {
                            "small".into()
                        };
                        let size = Some(body.len() as u64);
                        let response = ResponseHead {
                            size,
                            cache_status: WireCacheStatus::Hit as i32,
                            ..Default::default()
                        };
                        let _ = responder.head(response).await;
                        let _ = responder.data(body).await;
                        let _ = responder.end(None).await;
                    });
                }
            });
        }
    });
    address
}

async fn start_dispatcher(files: &CertificateFiles, client_authority: Option<&Path>) -> Dispatcher {
    let endpoint = start_endpoint().await;
    let client_authority_line = client_authority
        .map(|f| format!("client_authority = {}\n", f.display()))
        .unwrap_or_default();
    let text = format!(
        "[dispatcher]\nzone = b\n[listen]\nhttps = 127.0.0.1:0\nframed_tls = 127.0.0.1:0\ndrain_ms = 100\n\
         [tls]\ncertificate = {}\nkey = {}\n{client_authority_line}[zone b]\ndispatchers = 1\n\
         [member one]\naddress = {endpoint}\nkind = cache\nzone = b\nweight = 50\n\
         [class page]\npath_prefix = /\ndeadline_ms = 20000\naim_ms = 15000\n",
        files.certificate.display(),
        files.key.display(),
    );
    let settings = pointspindle_config::parse("test", &text).unwrap_or_else(|e| panic!("{e}"));
    Dispatcher::start(settings, 1).await.unwrap()
}

fn client(bound: &BoundAddresses, protocol: Protocol, trust: ClientTls) -> Client {
    let rules = RetryPolicy {
        max_attempts: 1,
        ..RetryPolicy::default()
    };
    let builder = Client::builder()
        .retry_policy(rules)
        .connect_timeout(Duration::from_secs(5))
        .tls(trust, None);
    let builder = match protocol {
        Protocol::Framed => builder.framed(bound.framed_tls),
        Protocol::Http => builder.http(bound.https),
    };
    builder.build().unwrap()
}

async fn get(client: &Client, object: &str) -> (Outcome, Bytes) {
    let request = Request::get(object, "page", Duration::from_secs(15));
    let response = client.fetch(request).await.unwrap();
    (response.outcome, response.body)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tls_slow_reader_receives_every_byte_over_both_protocols() {
    let folder = tempfile::tempdir().unwrap();
    let authority = Authority::new(folder.path(), "trusted");
    let dispatcher = start_dispatcher(&authority.sign("dispatcher", |_| {}), None).await;
    let trust = ClientTls::load(&authority.file(), None).unwrap();
    for protocol in [Protocol::Framed, Protocol::Http] {
        let client = client(dispatcher.bound_addresses(), protocol, trust.clone());
        assert_eq!(
            get(&client, "/small").await,
            (Outcome::Served, Bytes::from("small")),
            "{protocol:?}"
        );
        let mut call = client
            .call(Request::get("/large", "page", Duration::from_secs(15)))
            .unwrap();
        let mut received = Vec::new();
        while let Some(event) = call.next().await {
            match event {
                CallEvent::Head(_) => tokio::time::sleep(Duration::from_millis(300)).await,
                CallEvent::Data(data) => received.extend_from_slice(&data),
                CallEvent::End(end) => assert_eq!(end, Outcome::Served, "{protocol:?}"),
            }
        }
        assert!(
            received == large_body(),
            "{protocol:?}: wrong body of {} bytes",
            received.len()
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tls_invalid_certificates_are_rejected_with_their_reason() {
    let folder = tempfile::tempdir().unwrap();
    let trusted_authority = Authority::new(folder.path(), "trusted");
    let untrusted_authority = Authority::new(folder.path(), "untrusted");
    let trust = ClientTls::load(&trusted_authority.file(), None).unwrap();
    let expired = |p: &mut CertificateParams| {
        p.not_before = rcgen::date_time_ymd(2001, 1, 1);
        p.not_after = rcgen::date_time_ymd(2002, 1, 1);
    };
    let other_name = |p: &mut CertificateParams| {
        p.subject_alt_names = vec![rcgen::SanType::DnsName(
            "elsewhere.example".try_into().unwrap(),
        )];
    };
    let cases = [
        (trusted_authority.sign("expired", expired), "expired"),
        (
            trusted_authority.sign("elsewhere", other_name),
            "not valid for name",
        ),
        (
            untrusted_authority.sign("dispatcher", |_| {}),
            "UnknownIssuer",
        ),
    ];
    for (files, reason) in cases {
        let dispatcher = start_dispatcher(&files, None).await;
        for protocol in [Protocol::Framed, Protocol::Http] {
            let client = client(dispatcher.bound_addresses(), protocol, trust.clone());
            assert_ne!(get(&client, "/small").await.0, Outcome::Served, "{reason}");
            let error = client
                .last_connect_error()
                .map(|error| error.to_string())
                .unwrap_or_default();
            assert!(
                error.to_lowercase().contains(&reason.to_lowercase()),
                "{error:?} does not mention {reason}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tls_with_client_authority_only_trusted_client_certificates_are_served() {
    let folder = tempfile::tempdir().unwrap();
    let trusted_authority = Authority::new(folder.path(), "trusted");
    let untrusted_authority = Authority::new(folder.path(), "untrusted");
    // If client certificates are required, a client without one or with one of another authority gets no response.
    let dispatcher = start_dispatcher(
        &trusted_authority.sign("dispatcher", |_| {}),
        Some(&trusted_authority.file()),
    )
    .await;
    let trusted_certificate = trusted_authority.sign("client", |_| {});
    let untrusted_certificate = untrusted_authority.sign("client", |_| {});
    for (certificate, served) in [
        (None, false),
        (Some(&untrusted_certificate), false),
        (Some(&trusted_certificate), true),
    ] {
        let client = client(
            dispatcher.bound_addresses(),
            Protocol::Framed,
            ClientTls::load(&trusted_authority.file(), certificate).unwrap(),
        );
        assert_eq!(get(&client, "/small").await.0 == Outcome::Served, served);
    }
}

#[test]
fn tls_error_for_unusable_key_file_names_it_and_never_quotes_it() {
    let folder = tempfile::tempdir().unwrap();
    let trusted_authority = Authority::new(folder.path(), "trusted");
    let trusted_certificate = trusted_authority.sign("client", |_| {});
    let key = std::fs::read_to_string(&trusted_certificate.key).unwrap();
    let swapped = CertificateFiles {
        certificate: trusted_certificate.key.clone(),
        key: trusted_certificate.certificate.clone(),
    };
    let error = ClientTls::load(&trusted_authority.file(), Some(&swapped))
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("client.key") && !error.contains(key.lines().nth(1).unwrap()),
        "{error}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tls_reload_applies_to_new_connections_and_closes_none() {
    let folder = tempfile::tempdir().unwrap();
    let first = Authority::new(folder.path(), "first");
    let second = Authority::new(folder.path(), "second");
    let files = first.sign("dispatcher", |_| {});
    let dispatcher = start_dispatcher(&files, None).await;
    let trusts_first = client(
        dispatcher.bound_addresses(),
        Protocol::Framed,
        ClientTls::load(&first.file(), None).unwrap(),
    );
    let trusts_second = client(
        dispatcher.bound_addresses(),
        Protocol::Framed,
        ClientTls::load(&second.file(), None).unwrap(),
    );
    assert_eq!(get(&trusts_first, "/small").await.0, Outcome::Served);
    assert_ne!(get(&trusts_second, "/small").await.0, Outcome::Served);
    // A certificate without the matching key is rejected, and the old pair stays in use.
    let renewed = second.sign("dispatcher", |_| {});
    std::fs::copy(&renewed.certificate, &files.certificate).unwrap();
    assert!(
        dispatcher.reload_tls().is_err(),
        "a key that does not match the certificate was accepted"
    );
    assert_eq!(get(&trusts_first, "/small").await.0, Outcome::Served);
    std::fs::copy(&renewed.key, &files.key).unwrap();
    dispatcher.reload_tls().unwrap();
    assert_eq!(
        get(&trusts_second, "/small").await.0,
        Outcome::Served,
        "{:?}",
        trusts_second.last_connect_error()
    );
    assert_eq!(
        get(&trusts_first, "/small").await.0,
        Outcome::Served,
        "the established connection must stay open"
    );
}
