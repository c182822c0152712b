//! Output of the commands, as text or JSON.
pub mod endpoint_list;
pub mod fleet_report;
pub mod idle_table;
pub mod load_report;
pub mod run_report;
pub mod scale_report;
pub mod store_report;
pub mod sweep_table;
