//! The JSON form of the settings, key by key. The names belong to the operators' deployments and never change.

use serde::Deserialize;

/// The whole document.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SettingsJson {
    pub classes: Vec<ClassJson>,
    pub group_size: u32,
    pub registry_mode: String,
    pub report: Option<ReportJson>,
    pub tick_s: f64,
    pub extra: ExtraJson,
    pub caps: CapsJson,
    pub safety: SafetyJson,
}

/// One query class.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ClassJson {
    #[serde(default)]
    pub name: String,
    pub aim_s: f64,
    pub deadline_s: f64,
    pub effect: String,
    pub value: f64,
    pub late_share: f64,
    pub dedup_window_s: Option<f64>,
    pub aim_stretch: Option<f64>,
}

/// The shard layout, and lists with one entry for each class.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ExtraJson {
    pub positions: u32,
    pub span: u32,
    pub need_by_class: Vec<f64>,
    pub min_share: Vec<f64>,
    pub partial_earns: Vec<f64>,
    pub fetch_parts: Vec<u32>,
    #[serde(default = "unlimited_shards")]
    pub shards: u32,
    #[serde(default)]
    pub parts_a_call: u32,
}

/// The values of a server's load report.
#[derive(Deserialize)]
pub(crate) struct ReportJson {
    pub names: Vec<String>,
}

/// What the coordinator may do, and its limits.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct CapsJson {
    pub attempts_cap: u32,
    pub cancel: bool,
    pub probes: Option<bool>,
    pub second_copies: bool,
    pub retry_after: bool,
    pub max_retry_after_s: Option<f64>,
    #[serde(default = "unlimited_requests")]
    pub open_cap: usize,
    #[serde(default = "default_dial_timeout_s")]
    pub dial_timeout_s: f64,
    #[serde(default = "default_keepalive_s")]
    pub keepalive_s: f64,
    #[serde(default)]
    pub streams_per_conn: usize,
}

/// Retry budget, drain, slow start and overload detection.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SafetyJson {
    pub must_ask_in_s: Option<f64>,
    pub budget_free: Option<f64>,
    pub resend_ratio: Option<f64>,
    pub look_back_s: Option<f64>,
    pub cold_from: f64,
    pub warm_up_s: f64,
    pub stop_sending_within_s: f64,
    pub fall_multiple: f64,
    pub fall_s: f64,
}

// Defaults of the keys that older deployments leave out.

fn unlimited_shards() -> u32 {
    u32::MAX
}

fn unlimited_requests() -> usize {
    usize::MAX
}

fn default_dial_timeout_s() -> f64 {
    0.25
}

fn default_keepalive_s() -> f64 {
    15.0
}
