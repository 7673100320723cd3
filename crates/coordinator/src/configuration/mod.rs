//! The one place where configuration is read, checked and given defaults: the environment, the JSON file that
//! `NODE_CONFIG` names, and this project's own file under `deploy/`. Errors name the file and the faulty key, with its
//! line in the project's own file.

use crate::discovery::endpoint_list::EndpointListPage;
use crate::messages::{EndpointListUpdate, Index, ServedConfiguration};
use crate::observability::log;
use cairnroad_cluster::facts::MOST_OFFERS;
use cairnroad_cluster::names;
use cairnroad_contract::drift::Interface;
use cairnroad_contract::enforcement::Mode;
use cairnroad_endpoint_files::shard_layout::ShardLayout;
use cairnroad_endpoint_files::validation::DEFAULT_MAX_SHRINK;
use cairnroad_settings::Deployment;
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Where the project's own file is looked for, from the folder that the program starts in.
const OWN_FILE: &str = "deploy/cairnroad.toml";
/// The scored days' limits, which stand where no others are told.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: usize = 1024;

/// All that the program goes by.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The agent's address; `None` where the list of servers stands in files.
    pub discovery: Option<SocketAddr>,
    /// The files of the list of servers, if it stands in files.
    pub files: Option<Source>,
    pub seed: u64,
    pub limits: Limits,
    /// The list as an earlier life had it.
    pub known: EndpointListUpdate,
    pub offer: Arc<ServedConfiguration>,
    /// Where operators' calls are taken, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The folder that all processes of one coordinator share (`TMPDIR`), if there is one.
    pub passing: Option<PathBuf>,
    /// The descriptor of the clients' listening socket, where the platform holds that.
    pub inherited: Option<i32>,
    /// Where the second front listens, if it is on.
    pub opensearch: Option<SocketAddr>,
    pub backend: BackendKind,
    pub log: Log,
    /// The group that this coordinator takes part in, if any.
    pub peers: Option<Peers>,
    /// The descriptions that traffic is held against.
    pub contracts: Vec<(Interface, Plan)>,
    /// The deployment's file as it was read, less the list, to tell what another lacks.
    pub stated: serde_json::Value,
}

impl Config {
    /// The first key that this configuration's file has and another's lacks.
    pub fn lacked_by(&self, other: &Config) -> Option<String> {
        cairnroad_admin::reconfigure::first_missing_key(&self.stated, &other.stated)
    }

    /// The keys that another file says differently and that take effect only at a restart. `discovery` takes
    /// effect live; `seed` and `known` belong to a start.
    pub fn needs_restart(&self, other: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("admin", self.admin != other.admin),
            ("limits", self.limits != other.limits),
            ("opensearch", self.opensearch != other.opensearch),
            ("backend", self.backend != other.backend),
            ("log", self.log != other.log),
            ("membership", self.files != other.files),
            ("peers", self.peers != other.peers),
        ];
        keys.into_iter()
            .filter_map(|(key, differs)| differs.then_some(key))
            .collect()
    }
}

/// Where the list of servers comes from, and what it is held to.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// A folder of `*.toml` files, or one file.
    pub path: PathBuf,
    /// Where the last good list is kept, if anywhere.
    pub state: Option<PathBuf>,
    /// The share of working servers that one list may take away.
    pub shrink: f64,
    pub layout: ShardLayout,
}

/// The group that this coordinator takes part in.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Where its datagrams are taken, and where others are told to send them, if that is elsewhere.
    pub listen: SocketAddr,
    pub advertise: Option<SocketAddr>,
    /// Two fleets with different names never merge.
    pub cluster: String,
    pub room: String,
    pub offers: Vec<String>,
    /// The names of all coordinators of the group.
    pub group: BTreeSet<String>,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddr>,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    #[serde(default)]
    pub level: log::Level,
    #[serde(default)]
    pub format: log::Form,
    /// Seconds between two lines of counts; 0: none.
    #[serde(default)]
    pub tally_s: u32,
}

/// How an interface's traffic is to be held against its description.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub mode: Mode,
    /// The share of messages that is looked at under `observe`.
    pub share: f64,
    /// The description's file.
    pub path: PathBuf,
}

/// What is wrong with the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The project's own file is meant, not the deployment's.
    own: bool,
    /// The line in it, from 1; 0 where none is known.
    line: usize,
    text: String,
}

impl From<String> for Fault {
    fn from(text: String) -> Fault {
        Fault {
            own: false,
            line: 0,
            text,
        }
    }
}

impl From<cairnroad_settings::Fault> for Fault {
    fn from(fault: cairnroad_settings::Fault) -> Fault {
        Fault::from(format!("{fault}: {}", fault.help()))
    }
}

impl From<&str> for Fault {
    fn from(text: &str) -> Fault {
        Fault::from(text.to_string())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// A fault at a key of the project's own file, such as `contract.servers.share`.
fn at(own: &str, key: &str, text: impl fmt::Display) -> Fault {
    let (table, last) = key.rsplit_once('.').unwrap_or(("", key));
    let mut here = "";
    let mut line = 0;
    for (number, row) in own.lines().enumerate() {
        let row = row.trim();
        if let Some(header) = row.strip_prefix('[') {
            here = header
                .trim_start_matches('[')
                .split(']')
                .next()
                .unwrap_or("")
                .trim();
            if here == table && line == 0 {
                line = number + 1;
            }
        } else if here == table
            && row
                .split('=')
                .next()
                .is_some_and(|name| name.trim() == last)
        {
            line = number + 1;
            break;
        }
    }
    Fault {
        own: true,
        line,
        text: format!("'{key}': {text}"),
    }
}

/// Shares of the descriptors and of memory, worked out once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Client connections that stay open while they idle; over this number the longest idle make room. Clients
    /// hold a third of the descriptors at most for their requests, those of idle connections included.
    pub kept: usize,
    /// Client connections that may have a request open; more are told to come back.
    pub clients: usize,
    /// Client connections that are accepted at all.
    pub accepted: usize,
    /// Connections to servers.
    pub links: usize,
}

impl Limits {
    /// Half of the descriptors for clients with a request open and a sixteenth more to tell others to come
    /// back, three eighths for servers; the rest is for discovery and the runtime. Memory caps clients: one
    /// may hold 64 KiB of body twice over. Turns take every replica of a shard, so a coordinator of a fleet
    /// meets every server, and each connection closed for want of room is a handshake again.
    fn new(memory_mb: u64, sockets: usize) -> Limits {
        let by_memory = (memory_mb as usize).saturating_mul(1024) / 160 / 2;
        let clients = (sockets / 2).min(by_memory).max(8);
        let kept = (sockets / 5).clamp(8, clients);
        Limits {
            kept,
            clients,
            accepted: sockets / 2 + sockets / 16,
            links: (sockets * 3 / 8).max(8),
        }
    }
}

/// What servers speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BackendKind {
    #[default]
    Frames,
    OpenSearch,
}

#[derive(Deserialize)]
struct Json {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: Option<String>,
    limits: Option<JsonLimits>,
    known: Option<EndpointListPage>,
    settings: Box<serde_json::value::RawValue>,
}

#[derive(Deserialize)]
struct JsonLimits {
    memory_mb: Option<u64>,
    sockets: Option<usize>,
}

/// The project's own file. All of it is optional.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Own {
    #[serde(default)]
    opensearch: OwnFront,
    #[serde(default)]
    backend: OwnBackend,
    #[serde(default)]
    log: Log,
    #[serde(default)]
    contract: OwnContracts,
    #[serde(default)]
    membership: OwnMembership,
    #[serde(default)]
    peers: OwnPeers,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnPeers {
    #[serde(default)]
    enabled: bool,
    listen: Option<String>,
    advertise: Option<String>,
    cluster: Option<String>,
    #[serde(default)]
    room: String,
    #[serde(default)]
    offers: Vec<String>,
    #[serde(default)]
    group: Vec<String>,
    #[serde(default)]
    seeds: Vec<String>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnMembership {
    #[serde(default)]
    source: MembershipKind,
    path: Option<PathBuf>,
    state: Option<PathBuf>,
    shrink: Option<f64>,
}

/// Where the list of servers comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum MembershipKind {
    #[default]
    Agent,
    Files,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnContracts {
    platform: Option<OwnContract>,
    query: Option<OwnContract>,
    servers: Option<OwnContract>,
    discovery: Option<OwnContract>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnContract {
    #[serde(default)]
    mode: Mode,
    description: Option<PathBuf>,
    share: Option<f64>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnFront {
    #[serde(default)]
    enabled: bool,
    listen: Option<String>,
    #[serde(default)]
    index: Vec<OwnIndex>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnIndex {
    name: String,
    class: String,
    shards: Option<[u32; 2]>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnBackend {
    #[serde(default)]
    kind: BackendKind,
}

/// Reads all of it. `var` looks a variable up.
pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = var("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let own_path = var("CAIRNROAD_FILE").unwrap_or_else(|| OWN_FILE.into());
    let own = match std::fs::read_to_string(&own_path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound && var("CAIRNROAD_FILE").is_none() => {
            String::new()
        }
        Err(e) => return Err(format!("{own_path}: {e}")),
    };
    let folder = Path::new(&own_path).parent().unwrap_or(Path::new(""));
    read(&text, &own, folder, var).map_err(|fault| match (fault.own, fault.line) {
        (false, _) => format!("configuration: {path}: {fault}"),
        (true, 0) => format!("configuration: {own_path}: {fault}"),
        (true, line) => format!("configuration: {own_path}:{line}: {fault}"),
    })
}

/// Reads both files' text. `folder` is where the project's own file stands: its paths count from there.
fn read(
    json: &[u8],
    own_text: &str,
    folder: &Path,
    var: impl Fn(&str) -> Option<String>,
) -> Result<Config, Fault> {
    let mut stated: serde_json::Value = serde_json::from_slice(json).map_err(|e| e.to_string())?;
    if let Some(keys) = stated.as_object_mut() {
        keys.remove("known");
    }
    let json: Json = serde_json::from_slice(json).map_err(|e| e.to_string())?;
    let own: Own = toml::from_str(own_text).map_err(|e: toml::de::Error| {
        let before = e
            .span()
            .and_then(|span| own_text.get(..span.start))
            .unwrap_or("");
        Fault {
            own: true,
            line: before.matches('\n').count() + 1,
            text: e.message().trim().replace('\n', ": "),
        }
    })?;
    // The environment and the JSON say the same; either will do.
    let told = |key: &str, variable: &str, value: Option<String>| {
        value
            .or_else(|| var(variable))
            .ok_or(format!("'{key}' ({variable}) is missing"))
    };
    let address = |key: &str, text: String| {
        text.parse::<SocketAddr>()
            .map_err(|_| format!("'{key}': '{text}' is not an address and a port"))
    };
    let mut deployment = cairnroad_settings::parse(json.settings.get().as_bytes())?;
    if deployment.class_names.iter().any(String::is_empty) {
        return Err("settings: classes[].name is missing".into());
    }
    // Every refusal says when to come back, whether or not the simulator's clients are told.
    let longest = deployment.longest_advice;
    deployment.policy.max_retry_after.get_or_insert(longest);
    let seed = json.seed.unwrap_or_else(|| "0".into());
    let limits = json.limits.unwrap_or(JsonLimits {
        memory_mb: None,
        sockets: None,
    });
    let opensearch = match (own.opensearch.enabled, own.opensearch.listen) {
        (false, _) => None,
        (true, Some(listen)) => {
            let wrong = |_| {
                at(
                    own_text,
                    "opensearch.listen",
                    format!("'{listen}' is not an address and a port"),
                )
            };
            Some(listen.parse().map_err(wrong)?)
        }
        (true, None) => {
            let cause = "this is missing though 'opensearch.enabled' is true";
            return Err(at(own_text, "opensearch.listen", cause));
        }
    };
    let indices = indices(own.opensearch.index, &deployment, own_text)?;
    let files = membership(own.membership, folder, own_text, &deployment)?;
    let contracts = contracts(own.contract, folder, own_text)?;
    let name = told("name", "NODE_NAME", json.name).unwrap_or_else(|_| "cairnroad".into());
    let peers = peers(own.peers, &name, own_text)?;
    let inherited = match var("NODE_INHERITED_FD") {
        None => None,
        Some(text) => match text.parse::<i32>() {
            Ok(number) if number > 2 => Some(number),
            _ => {
                return Err(
                    format!("NODE_INHERITED_FD: '{text}' is not a descriptor above 2").into(),
                )
            }
        },
    };
    let admin = json.admin.or_else(|| var("NODE_ADMIN"));
    // A process that is replaced under load shares its limits with the one that replaces it.
    let sharers = if inherited.is_some() { 2 } else { 1 };
    Ok(Config {
        name,
        listen: address("listen", told("listen", "NODE_LISTEN", json.listen)?)?,
        discovery: match files {
            Some(_) => None,
            None => Some(address(
                "discovery",
                told("discovery", "NODE_DISCOVERY", json.discovery)?,
            )?),
        },
        files,
        seed: u64::from_str_radix(&seed, 16)
            .map_err(|_| format!("'seed': '{seed}' is not hexadecimal"))?,
        admin: admin.map(|text| address("admin", text)).transpose()?,
        passing: var("TMPDIR").map(PathBuf::from),
        inherited,
        limits: Limits::new(
            limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) / sharers,
            limits.sockets.unwrap_or(DEFAULT_SOCKETS) / sharers as usize,
        ),
        known: json
            .known
            .map(EndpointListPage::into_update)
            .unwrap_or_default(),
        offer: Arc::new(ServedConfiguration {
            deployment,
            indices,
        }),
        opensearch,
        backend: own.backend.kind,
        log: own.log,
        peers,
        contracts,
        stated,
    })
}

/// The indices that the file names; where it names none, each class is one over all shards.
fn indices(own: Vec<OwnIndex>, deployment: &Deployment, text: &str) -> Result<Vec<Index>, Fault> {
    let last = deployment.shards.saturating_sub(1);
    if own.is_empty() {
        let names = deployment.class_names.iter().enumerate();
        return Ok(names
            .map(|(class, name)| Index {
                name: name.clone(),
                class,
                first_shard: 0,
                last_shard: last,
            })
            .collect());
    }
    let index = |own: OwnIndex| {
        let class = deployment
            .class_names
            .iter()
            .position(|name| *name == own.class);
        let class = class.ok_or_else(|| {
            at(
                text,
                "opensearch.index.class",
                format!("'{}' is no class", own.class),
            )
        })?;
        let [first, end] = own.shards.unwrap_or([0, last]);
        if first > end || end > last {
            let cause = format!("of '{}': there are shards 0 to {last}", own.name);
            return Err(at(text, "opensearch.index.shards", cause));
        }
        if own.name.is_empty()
            || own.name.starts_with('_')
            || own.name.contains(['/', ',', '*', '?'])
        {
            return Err(at(
                text,
                "opensearch.index.name",
                format!("'{}' can't be an index", own.name),
            ));
        }
        Ok(Index {
            name: own.name,
            class,
            first_shard: first,
            last_shard: end,
        })
    };
    own.into_iter().map(index).collect()
}

/// The files of the list of servers, where it stands in files.
fn membership(
    own: OwnMembership,
    folder: &Path,
    text: &str,
    deployment: &Deployment,
) -> Result<Option<Source>, Fault> {
    if own.source == MembershipKind::Agent {
        return Ok(None);
    }
    let missing = || {
        at(
            text,
            "membership.path",
            "the folder of the roster's files, or its one file, is missing",
        )
    };
    let path = folder.join(own.path.ok_or_else(missing)?);
    let shrink = own.shrink.unwrap_or(DEFAULT_MAX_SHRINK);
    if !(0.0..=1.0).contains(&shrink) {
        return Err(at(
            text,
            "membership.shrink",
            format!("{shrink} is not from 0 to 1"),
        ));
    }
    let policy = &deployment.policy;
    let layout = ShardLayout {
        cells: policy.cells,
        cells_per_shard: policy.cells_per_shard,
        shards: deployment.shards,
    };
    Ok(Some(Source {
        path,
        state: own.state.map(|state| folder.join(state)),
        shrink,
        layout,
    }))
}

/// The group that this coordinator takes part in, where it does.
fn peers(own: OwnPeers, name: &str, text: &str) -> Result<Option<Peers>, Fault> {
    if !own.enabled {
        return Ok(None);
    }
    let address = |key: &str, told: String| {
        told.parse::<SocketAddr>()
            .map_err(|_| at(text, key, format!("'{told}' is not an address and a port")))
    };
    let missing = |key: &str| at(text, key, "this is missing though 'peers.enabled' is true");
    let listen = address(
        "peers.listen",
        own.listen.ok_or_else(|| missing("peers.listen"))?,
    )?;
    let advertise = own
        .advertise
        .map(|told| address("peers.advertise", told))
        .transpose()?;
    if advertise.is_some_and(|address| address.port() == 0) {
        return Err(at(
            text,
            "peers.advertise",
            "nobody can send to port 0: name the port that others reach",
        ));
    }
    let cluster = own.cluster.ok_or_else(|| missing("peers.cluster"))?;
    if !names::is_name(&cluster) {
        return Err(at(text, "peers.cluster", names::Fault::Name(cluster)));
    }
    let short = |key: &str, told: &String| match told.len() <= names::MOST_NAME {
        true => Ok(()),
        false => Err(at(
            text,
            key,
            format!("'{told}' is longer than {} bytes", names::MOST_NAME),
        )),
    };
    short("peers.room", &own.room)?;
    own.offers
        .iter()
        .try_for_each(|offer| short("peers.offers", offer))?;
    if own.offers.len() > MOST_OFFERS {
        return Err(at(
            text,
            "peers.offers",
            format!("there are more than {MOST_OFFERS}"),
        ));
    }
    let fault = |fault: names::Fault| at(text, "peers.group", format!("{fault}: {}", fault.help()));
    let group = names::read(&own.group).map_err(fault)?;
    if !names::is_name(name) {
        return Err(format!(
            "'name': '{name}' can't be a peer's: {}",
            names::Fault::Name(String::new()).help()
        )
        .into());
    }
    if !group.contains(name) {
        let cause = format!("'{name}', the name of this coordinator, is not among them");
        return Err(at(text, "peers.group", cause));
    }
    let seeds = own
        .seeds
        .into_iter()
        .map(|seed| address("peers.seeds", seed))
        .collect::<Result<_, _>>()?;
    let (room, offers) = (own.room, own.offers);
    Ok(Some(Peers {
        listen,
        advertise,
        cluster,
        room,
        offers,
        group,
        seeds,
    }))
}

/// The interfaces whose traffic is held against a description.
fn contracts(
    own: OwnContracts,
    folder: &Path,
    text: &str,
) -> Result<Vec<(Interface, Plan)>, Fault> {
    let named = [
        (Interface::Platform, own.platform),
        (Interface::Query, own.query),
        (Interface::Servers, own.servers),
        (Interface::Discovery, own.discovery),
    ];
    let mut all = Vec::new();
    for (interface, contract) in named {
        let Some(contract) = contract.filter(|contract| contract.mode != Mode::Off) else {
            continue;
        };
        let key = |key: &str| format!("contract.{interface}.{key}");
        let missing = || {
            at(
                text,
                &key("description"),
                "the description's file is missing",
            )
        };
        let path = folder.join(contract.description.ok_or_else(missing)?);
        let share = contract.share.unwrap_or(1.0);
        if !(share > 0.0 && share <= 1.0) {
            return Err(at(
                text,
                &key("share"),
                format!("{share} is not above 0 and 1 at most"),
            ));
        }
        // A list that is not taken would leave servers in use that drain or are gone.
        if (interface, contract.mode) == (Interface::Discovery, Mode::Enforce) {
            return Err(at(
                text,
                &key("mode"),
                "discovery's news can be observed, not refused",
            ));
        }
        all.push((
            interface,
            Plan {
                mode: contract.mode,
                share,
                path,
            },
        ));
    }
    Ok(all)
}

impl Config {
    /// All that takes effect, for people and programs.
    pub fn effective(&self) -> serde_json::Value {
        let index = |index: &Index| {
            let class = self.offer.deployment.class_names.get(index.class);
            json!({"name": index.name, "class": class, "shards": [index.first_shard, index.last_shard]})
        };
        let class = |(_, name, class): (usize, &str, &cairnroad_types::Class)| {
            json!({"name": name, "aim_s": class.latency_objective, "deadline_s": class.deadline, "least_share": class.minimum_share,
                "may_run_twice": class.idempotency != cairnroad_types::Idempotency::AtMostOnce})
        };
        let contract = |(interface, plan): &(Interface, Plan)| {
            let path = plan.path.display().to_string();
            (
                interface.to_string(),
                json!({"mode": plan.mode, "share": plan.share, "description": path}),
            )
        };
        let text = |value: &dyn fmt::Debug| format!("{value:?}").to_lowercase();
        json!({
            "name": self.name,
            "listen": self.listen.to_string(),
            "inherited": self.inherited,
            "admin": self.admin.map(|address| address.to_string()),
            "discovery": self.discovery.map(|address| address.to_string()),
            "membership": self.files.as_ref().map(|source| {
                let state = source.state.as_ref().map(|state| state.display().to_string());
                json!({"path": source.path.display().to_string(), "state": state, "shrink": source.shrink})
            }),
            "limits": {"clients": self.limits.clients, "kept": self.limits.kept, "accepted": self.limits.accepted,
                "links": self.limits.links},
            "known": {"revision": self.known.revision, "servers": self.known.rows.len()},
            "classes": self.offer.deployment.offered().map(class).collect::<Vec<_>>(),
            "shards": self.offer.deployment.shards,
            "opensearch": {"listen": self.opensearch.map(|address| address.to_string()),
                "indices": self.offer.indices.iter().map(index).collect::<Vec<_>>()},
            "backend": text(&self.backend),
            "log": {"level": text(&self.log.level), "format": text(&self.log.format),
                "tally_s": self.log.tally_s},
            "peers": self.peers.as_ref().map(|peers| json!({"listen": peers.listen.to_string(),
                "advertise": peers.advertise.map(|address| address.to_string()), "cluster": peers.cluster,
                "room": peers.room, "offers": peers.offers, "group": peers.group.len(),
                "seeds": peers.seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>()})),
            "contract": self.contracts.iter().map(contract).collect::<serde_json::Map<_, _>>(),
        })
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"classes":[
        {"name":"stock-search","aimS":1.0,"deadlineS":2.0,"effect":"idempotent","value":3.0,"lateShare":0.3},
        {"name":"pick-confirm","aimS":1.0,"deadlineS":2.5,"effect":"at_most_once","value":1.0,"lateShare":0.3}],
        "groupSize":1,"registryMode":"pushed","tickS":0.005,"report":{"how":"piggyback","names":["queue","latency_ms"]},
        "extra":{"positions":2,"span":1,"shards":8,"partsACall":8,"needByClass":[1.0,1.0],"minShare":[0.8,1.0],
        "partialEarns":[0.9,0.9],"fetchParts":[0,0]},"caps":{"attemptsCap":3,"cancel":true,"secondCopies":true,
        "probes":true,"retryAfter":false,"maxRetryAfterS":2.0,"openCap":60,"dialTimeoutS":0.25,"keepaliveS":15.0,
        "streamsPerConn":32},"safety":{"coldFrom":0.23,"warmUpS":16.0,"stopSendingWithinS":0.25,"fallMultiple":2.5,
        "fallS":1.0}}"#;

    fn json(settings: &str) -> String {
        format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"ff","settings":{settings}}}"#
        )
    }

    /// A configuration for other modules' tests.
    pub fn sample() -> Config {
        with("")
    }

    /// The same with a file of the project's own.
    pub fn with(own: &str) -> Config {
        read(json(SETTINGS).as_bytes(), own, Path::new("d"), |_| None).unwrap()
    }

    #[test]
    fn defaults_stand_where_nothing_is_told() {
        let config = sample();
        assert_eq!(
            (config.seed, config.opensearch, config.backend),
            (255, None, BackendKind::Frames)
        );
        assert!(config.limits.accepted + config.limits.links + 64 <= DEFAULT_SOCKETS);
        assert_eq!(
            config.offer.deployment.policy.max_retry_after,
            Some(2.0),
            "refusals always say when to return"
        );
    }

    /// Guards against connections that clients used once and that stand open until the clients may hold no more.
    #[test]
    fn idle_connections_leave_clients_room_within_their_third() {
        for (sockets, memory) in [(256, 32), (384, 48), (1024, 128), (1024, 32)] {
            let limits = Limits::new(memory, sockets);
            assert!(limits.kept * 3 / 2 <= sockets / 3, "{limits:?}");
            assert!(
                limits.accepted + limits.links + sockets / 16 <= sockets,
                "{limits:?}"
            );
        }
    }

    /// Guards against a table of connections smaller than a fleet's servers: 512 descriptors are dealt out where
    /// up to 190 servers stand, and replicas by turns meet all of them.
    #[test]
    fn a_coordinator_keeps_a_connection_to_each_server_of_a_large_fleet() {
        for (sockets, servers) in [(512, 190), (1024, 380)] {
            assert!(
                Limits::new(64, sockets).links >= servers,
                "{:?}",
                Limits::new(64, sockets)
            );
        }
    }

    #[test]
    fn what_takes_a_restart_is_named() {
        let read = |text: String| read(text.as_bytes(), "", Path::new(""), |_| None).unwrap();
        let (old, text) = (sample(), json(SETTINGS));
        assert!(old
            .needs_restart(&read(text.replace("127.0.0.1:1", "127.0.0.1:2")))
            .is_empty());
        assert_eq!(
            old.needs_restart(&read(text.replace("\"n1\"", "\"n2\""))),
            ["name"]
        );
        // A key with a default may be left out of a first file, not of a later one.
        let cut = read(text.replace(r#""dialTimeoutS":0.25,"#, ""));
        assert_eq!(
            old.lacked_by(&cut).as_deref(),
            Some("settings.caps.dialTimeoutS")
        );
        assert_eq!(
            (cut.lacked_by(&old), old.lacked_by(&sample())),
            (None, None)
        );
    }

    #[test]
    fn what_is_wrong_is_named() {
        let fault = |json: String, own: &str| {
            let fault = read(json.as_bytes(), own, Path::new(""), |_| None).unwrap_err();
            format!("{}:{}", fault.line, fault.text)
        };
        assert!(fault(json(SETTINGS).replace("127.0.0.1:0", "nowhere"), "").contains("'listen'"));
        assert!(fault(json(SETTINGS).replace("\"ff\"", "\"xyz\""), "").contains("'seed'"));
        assert!(
            fault(json(SETTINGS).replace("\"discovery\"", "\"d\""), "").contains("NODE_DISCOVERY")
        );
        assert!(fault(json(&SETTINGS.replace("tickS", "tick")), "").contains("tickS"));
        assert!(fault(json(SETTINGS), "[opensearch]\nenabled = true").contains("opensearch.listen"));
        assert!(fault(json(SETTINGS), "[opensearch]\nport = 3").contains("port"));
        assert!(fault(json(SETTINGS), "[backend]\nkind = \"soap\"").starts_with("2:"));
        let own = "[contract.query]\nmode = \"observe\"\nshare = 1.5\ndescription = \"q.yaml\"";
        let cause = "3:'contract.query.share': 1.5 is not above 0 and 1 at most";
        assert_eq!(fault(json(SETTINGS), own), cause);
        for (key, value, cause) in [
            ("listen", "\"nowhere\"", "is not an address"),
            ("advertise", "\"10.0.0.1:0\"", "nobody can send to port 0"),
            ("cluster", "\"a b\"", "can't be a name"),
            ("group", "[\"n[3-1]\"]", "a range is written as"),
            ("group", "[\"n2\"]", "'n1', the name of this coordinator"),
            ("group", "[]", "the group names nobody"),
            ("seeds", "[\"x\"]", "is not an address"),
            (
                "offers",
                "[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]",
                "more than 8",
            ),
        ] {
            let sound = [
                ("listen", "\"127.0.0.1:0\""),
                ("cluster", "\"c\""),
                ("group", "[\"n[1-3]\"]"),
            ];
            let rest = sound.iter().filter(|(other, _)| *other != key);
            let rest: String = rest
                .map(|(key, value)| format!("{key} = {value}\n"))
                .collect();
            let own = format!("[peers]\nenabled = true\n{key} = {value}\n{rest}");
            let told = fault(json(SETTINGS), &own);
            assert!(
                told.starts_with(&format!("3:'peers.{key}': ")) && told.contains(cause),
                "{told}"
            );
        }
        assert!(fault(json(SETTINGS), "[peers]\nenabled = true").starts_with("1:'peers.listen'"));
        let own = "[log]\n\n[contract.servers]\nmode = \"enforce\"";
        assert!(fault(json(SETTINGS), own).starts_with("3:'contract.servers.description'"));
        let own = "[contract.discovery]\nmode = \"enforce\"\ndescription = \"d.yaml\"";
        assert!(fault(json(SETTINGS), own).starts_with("2:'contract.discovery.mode'"));
    }

    #[test]
    fn a_contracts_path_counts_from_the_file_that_names_it() {
        let config = with("[contract.query]\nmode = \"observe\"\ndescription = \"q.yaml\"");
        let plan = Plan {
            mode: Mode::Observe,
            share: 1.0,
            path: "d/q.yaml".into(),
        };
        assert_eq!(config.contracts, [(Interface::Query, plan)]);
        assert!(with("[contract.query]\nmode = \"off\"")
            .contracts
            .is_empty());
    }
}
