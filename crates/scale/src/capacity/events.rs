//! Defines the rows of the capacity page for each event.
use super::roles::{CONTROL_CODE, STORE_CODE};
use super::row::{measured, not_measured, Row};

const UNTIL_CURRENT: &str = "until every view is current";
/// Budget of the time from start to ready, milliseconds.
const READY_MS: f64 = 10_000.0;

/// An event that affects the whole fleet at once, with its rows.
pub(super) struct Event {
    pub(super) name: &'static str,
    pub(super) description: &'static str,
    pub(super) rows: Vec<Row>,
}

pub(super) fn events() -> Vec<Event> {
    vec![
        simultaneous_start(),
        restart(),
        purge_burst(),
        store_outage(),
        compaction(),
        streams_broken(),
        Event {
            name: "Loss of a rack, a zone or a control store machine; regions disconnected",
            description: "-",
            rows: vec![not_measured(
                "all figures",
                "`lab fleet` runs the loss of a site with clients",
            )],
        },
    ]
}

fn unbudgeted_ms(label: &'static str, figure: &'static str) -> Row {
    measured(label, figure, "ms", None, CONTROL_CODE)
}

fn ready_time(label: &'static str, figure: &'static str) -> Row {
    measured(label, figure, "ms", Some(READY_MS), CONTROL_CODE)
}

fn bytes_to_each(figure: &'static str) -> Row {
    measured(
        "bytes sent to each dispatcher",
        figure,
        "KB",
        None,
        CONTROL_CODE,
    )
}

fn simultaneous_start() -> Event {
    Event {
        name: "All dispatchers start at once",
        description: "Each dispatcher reads the whole view and registers; \
                      each registration is sent to all dispatchers: N^2 records. \
                      Only the control store limits the rate, and it refuses no request. \
                      A dispatcher uses no warm-up budget until the fleet counts have settled.",
        rows: vec![
            unbudgeted_ms(UNTIL_CURRENT, "start/whole again"),
            ready_time("start to ready, p90", "start/ready p90"),
            bytes_to_each("start/dispatcher bytes of the phase"),
            measured(
                "control store, processor",
                "start/store cores",
                "cores",
                None,
                STORE_CODE,
            ),
        ],
    }
}

fn restart() -> Event {
    Event {
        name: "Restart of 50 dispatchers (one process of the scale run)",
        description:
            "The leases expire; every dispatcher receives each removal and each new registration.",
        rows: vec![ready_time(
            "start to ready, longest",
            "restart/ready longest",
        )],
    }
}

fn purge_burst() -> Event {
    Event {
        name: "Burst of purges",
        description: "Each purge is one write and is sent to all dispatchers.",
        rows: vec![
            unbudgeted_ms("purge in force, p99", "storm/purge in force p99"),
            bytes_to_each("storm/dispatcher bytes of the phase"),
            measured(
                "dispatcher, processor",
                "storm/dispatcher cores",
                "cores",
                None,
                CONTROL_CODE,
            ),
        ],
    }
}

fn store_outage() -> Event {
    Event {
        name: "Outage of the control store",
        description: "Every view is stale after half a second; \
                      endpoint lists stay, and cached copies are withheld if purges are promised; \
                      after the outage the watches continue at their last revision.",
        rows: vec![
            unbudgeted_ms(UNTIL_CURRENT, "store away/whole again"),
            bytes_to_each("store away/dispatcher bytes of the phase"),
        ],
    }
}

fn compaction() -> Event {
    Event {
        name: "Outage of the control store with its history compacted",
        description: "Every view is read in full again, \
                      and every object counts as purged at that time.",
        rows: vec![
            unbudgeted_ms(UNTIL_CURRENT, "compacted/whole again"),
            bytes_to_each("compacted/dispatcher bytes of the phase"),
        ],
    }
}

fn streams_broken() -> Event {
    Event {
        name: "All streams break at once",
        description: "Each watch reconnects after 5 to 15 ms and continues at its last revision.",
        rows: vec![unbudgeted_ms(UNTIL_CURRENT, "streams broken/whole again")],
    }
}
