use super::*;
use pointspindle_platform_protocol::start_config::StartConfig;

/// Hosts are replaced without end, by new ids at the same addresses: those that are gone are forgotten.
#[test]
fn members_that_are_gone_are_forgotten() {
    let start: StartConfig = serde_json::from_str(
        r#"{"name":"n","listen":"127.0.0.1:1","board":"127.0.0.1:2",
            "limits":{"cores":1,"memory_mb":32,"sockets":256},
            "settings":{"Zone":0,"Zones":["z"],"Kinds":["box"],"Allowed":{},"Rules":{},
            "FamilyInfo":{},"Classes":[{"Name":"page","DeadlineMs":1000,"Repeat":"idempotent"}]}}"#,
    )
    .unwrap();
    let shape = Shape::new(&start).unwrap();
    let (lines, _meetings) =
        Lines::new(&shape, &BufferMeter::default(), Stalls::new(Instant::now()));
    let dial: SocketAddr = ([127, 0, 0, 1], 9).into();
    for n in 0..100_000 {
        let listed = |n: u32, gone| Listed {
            id: format!("s-{n}"),
            dial,
            role: Role::Cache,
            gone,
        };
        lines.listed(listed(n, false));
        lines.listed(listed(n.saturating_sub(3), n > 3));
        if n % 1_000 == 0 {
            lines.sweep();
        }
    }
    lines.sweep();
    assert!(lines.count().1 <= 4, "{:?}", lines.count());
    lines.only(&[]);
    lines.sweep();
    assert_eq!(lines.count(), (0, 0));
}
