//! The JSON document of the settings. The keys stand in deployed configuration files and must not change.

use serde::Deserialize;

/// The settings document.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SettingsJson {
    pub classes: Vec<ClassJson>,
    /// Number of coordinators in the deployment.
    pub group_size: u32,
    /// How the endpoint list arrives: `pushed`, or `on_request` (polled).
    pub registry_mode: String,
    pub report: Option<ReportJson>,
    /// Shortest time between two calls of the router, in seconds.
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
    /// Latency objective, in seconds.
    pub aim_s: f64,
    pub deadline_s: f64,
    /// Idempotency: `idempotent`, `deduplicated` or `at_most_once`.
    pub effect: String,
    /// Priority weight.
    pub value: f64,
    /// Share of the priority weight that a late answer earns.
    pub late_share: f64,
    /// How long servers drop repeats of a part, in seconds.
    pub dedup_window_s: Option<f64>,
    /// Additional seconds of latency objective for each second of expected work.
    pub aim_stretch: Option<f64>,
}

/// The shard layout, and lists with one entry per class.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ExtraJson {
    /// Number of cells.
    pub positions: u32,
    /// Number of consecutive cells that hold a shard.
    pub span: u32,
    /// Share of the first step's weight that makes an answer complete, per class.
    pub need_by_class: Vec<f64>,
    /// Least share for any answer, per class.
    pub min_share: Vec<f64>,
    /// Share of the priority weight that a partial answer earns, per class.
    pub partial_earns: Vec<f64>,
    /// Parts of the second step, per class; 0 if there is none.
    pub fetch_parts: Vec<u32>,
    #[serde(default = "unlimited_shards")]
    pub shards: u32,
    /// Maximum number of parts in one call to a server; 0 counts as 1.
    #[serde(default)]
    pub parts_a_call: u32,
}

/// The values of a server's load report.
#[derive(Deserialize)]
pub(crate) struct ReportJson {
    pub names: Vec<String>,
}

/// The coordinator's permissions and limits.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct CapsJson {
    /// Maximum number of attempts for a part.
    pub attempts_cap: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether health checks are allowed; they are not if the key is left out.
    pub probes: Option<bool>,
    /// Whether a part may have two attempts in flight (hedging).
    pub second_copies: bool,
    /// Whether `Retry-After` is passed on to clients.
    pub retry_after: bool,
    /// The longest `Retry-After` that clients honor, in seconds.
    pub max_retry_after_s: Option<f64>,
    /// Maximum number of requests and parts in flight, counted together.
    #[serde(default = "unlimited_requests")]
    pub open_cap: usize,
    /// Time-out for establishing a connection, in seconds.
    #[serde(default = "default_dial_timeout_s")]
    pub dial_timeout_s: f64,
    /// Time after which the remote side closes an idle connection, in seconds.
    #[serde(default = "default_keepalive_s")]
    pub keepalive_s: f64,
    /// Maximum number of parts in flight on one connection; 0 counts as 1.
    #[serde(default)]
    pub streams_per_conn: usize,
}

/// Retry budget, drain, slow start and overload detection.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SafetyJson {
    /// Longest time between two polls of the endpoint list, in seconds; mandatory if it is polled.
    pub must_ask_in_s: Option<f64>,
    /// Further attempts that are always allowed within the retry window.
    pub budget_free: Option<f64>,
    /// Further attempts earned by each query or part that arrived in the retry window.
    pub resend_ratio: Option<f64>,
    /// Length of the retry window, in seconds.
    pub look_back_s: Option<f64>,
    /// Least share of its capacity at which a server starts.
    pub cold_from: f64,
    /// Longest duration of a server's slow start, in seconds.
    pub warm_up_s: f64,
    /// Time within which sends to a draining or removed server must end, in seconds.
    pub stop_sending_within_s: f64,
    /// Multiple of its present capacity that overloads a server in slow start.
    pub fall_multiple: f64,
    /// How long that multiple must last to overload the server, in seconds.
    pub fall_s: f64,
}

// Defaults for keys that older deployments leave out.

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
