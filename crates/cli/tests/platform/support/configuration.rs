//! The dispatcher's configuration and the events of discovery, as the platform writes them.
use std::net::SocketAddr;

/// Returns a configuration with two classes, a zone `edge` with these endpoints, and small limits.
pub fn configuration(listen: SocketAddr, discovery: SocketAddr, endpoints: &[String]) -> String {
    let endpoints = endpoints.join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","board":"{discovery}","unknown":[1],
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
        "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"seq":1,"whole":true,"hosts":[{endpoints}]}}}}]}},
        "settings":{{"Balancers":1,"Me":0,"Zone":1,"Zones":["hub","edge"],"Kinds":["box","parent","origin"],
        "WeightSource":"nominal","Allowed":{{"MaxAttempts":6,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterMs":1000.0,
        "DialTimeoutMs":400.0,"KeepaliveMs":30000.0,"StreamsPerConn":100}},
        "Classes":[{{"Name":"page","AimMs":300.0,"DeadlineMs":5000.0,"Repeat":"idempotent","Worth":1.0}},
        {{"Name":"submit","AimMs":300.0,"DeadlineMs":5000.0,"Repeat":"deduplicated","Group":"all","KeyTtlMs":2000.0,"Worth":3.0}}],
        "Rules":{{"FallMs":1000.0,"OverloadFactor":2.0,"StartCapacity":0.2,"WarmWithinMs":9000.0}},
        "FamilyInfo":{{"SecondTierKind":1,"MasterKind":2,"MaxAgeMs":[12000.0,0.0],"UsableAfterMs":[20000.0,0.0],
        "NeverKept":[false,true],"InPieces":[true,false],"InstancesByZone":[0,1],"MergesFills":false,"Tells":"all",
        "Neighbours":"location","Straight":true,"StreamKbPerS":310.0,"GoneEverywhereMs":6000.0}}}}}}"#
    )
}

/// Returns the configuration with each `(from, to)` replaced; each `from` must occur in it.
pub fn with_replacements(configuration: String, replacements: &[(&str, &str)]) -> String {
    replacements.iter().fold(configuration, |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    })
}

/// Returns the configuration with `known` in place of its known endpoint list.
pub fn with_known(configuration: &str, known: &str) -> String {
    let start = configuration.find("\"known\"").unwrap();
    let end = configuration.find("\"settings\"").unwrap();
    configuration.replacen(&configuration[start..end], known, 1)
}

/// Returns an entry of an endpoint list.
pub fn endpoint_entry(id: &str, address: SocketAddr, class: &str, health: &str) -> String {
    let site = if class == "box" { "edge" } else { "hub" };
    format!(
        r#"{{"host":"{id}","dial":"{address}","site":"{site}","class":"{class}","block":1,"health":"{health}","share":50,"born_ms":0}}"#
    )
}

/// Returns the endpoint list part of an event: the complete list, or the changed entries.
pub fn endpoint_list(sequence: u64, complete: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!("\"pool\":{{\"seq\":{sequence},\"whole\":{complete},\"hosts\":[{entries}]}}")
}

/// Returns the purge part of an event.
pub fn purge(object: &str, purged_unix_ms: u128) -> String {
    format!("\"flush\":{{\"asset\":\"{object}\",\"ms\":{purged_unix_ms}}}")
}

/// Returns an event of the discovery stream.
pub fn discovery_event(revision: u64, content: &str) -> String {
    format!("id: {revision}\ndata: {{\"rev\":{revision},{content}}}\n\n")
}
