//! The `[peers]` table: membership in a group of coordinators.

use super::error::{ContentError, DeploymentFileError, ProjectFileError, ValueError};
use super::project_file::ProjectFile;
use cairnroad_cluster::gossip_state::MAX_OFFERS;
use cairnroad_cluster::member_names::{self, MemberNamesError};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The table as parsed from the file.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterTable {
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

/// Settings of this coordinator's membership in a group of coordinators.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// Address that the UDP socket is bound to.
    pub listen_address: SocketAddr,
    /// Address announced to other members, if it differs from `listen_address`.
    pub advertised_address: Option<SocketAddr>,
    /// Name of the group. Groups with different names never merge.
    pub cluster_name: String,
    /// Room in which this coordinator runs, announced to other members; empty if it is not stated.
    pub room: String,
    /// Services that this coordinator offers, announced to other members.
    pub offers: Vec<String>,
    /// Names of all members, this coordinator included.
    pub member_names: BTreeSet<String>,
    /// Addresses that are contacted to find the first members.
    pub seeds: Vec<SocketAddr>,
}

/// Validates the table for the coordinator called `name`. Returns `None` if membership is disabled.
pub fn cluster(
    table: ClusterTable,
    name: &str,
    file: &ProjectFile,
) -> Result<Option<ClusterSettings>, ContentError> {
    if !table.enabled {
        return Ok(None);
    }
    let listen = required("peers.listen", table.listen, file)?;
    let listen_address = file.address("peers.listen", listen)?;
    let advertised_address = advertised_address(table.advertise, file)?;
    let cluster_name = cluster_name(table.cluster, file)?;
    check_length("peers.room", &table.room, file)?;
    check_offers(&table.offers, file)?;
    let member_names = read_member_names(&table.group, name, file)?;
    let seeds = table
        .seeds
        .into_iter()
        .map(|seed| file.address("peers.seeds", seed))
        .collect::<Result<_, _>>()?;
    Ok(Some(ClusterSettings {
        listen_address,
        advertised_address,
        cluster_name,
        room: table.room,
        offers: table.offers,
        member_names,
        seeds,
    }))
}

fn required(
    key: &str,
    value: Option<String>,
    file: &ProjectFile,
) -> Result<String, ProjectFileError> {
    value.ok_or_else(|| file.error(key, ValueError::RequiredBy("peers.enabled")))
}

fn advertised_address(
    value: Option<String>,
    file: &ProjectFile,
) -> Result<Option<SocketAddr>, ProjectFileError> {
    const KEY: &str = "peers.advertise";
    let Some(value) = value else {
        return Ok(None);
    };
    let address = file.address(KEY, value)?;
    if address.port() == 0 {
        return Err(file.error(KEY, ValueError::PortZero));
    }
    Ok(Some(address))
}

fn cluster_name(value: Option<String>, file: &ProjectFile) -> Result<String, ProjectFileError> {
    const KEY: &str = "peers.cluster";
    let name = required(KEY, value, file)?;
    if !member_names::is_valid_name(&name) {
        let error = ValueError::InvalidClusterName(MemberNamesError::InvalidName(name));
        return Err(file.error(KEY, error));
    }
    Ok(name)
}

fn check_offers(offers: &[String], file: &ProjectFile) -> Result<(), ProjectFileError> {
    const KEY: &str = "peers.offers";
    for offer in offers {
        check_length(KEY, offer, file)?;
    }
    if offers.len() > MAX_OFFERS {
        let error = ValueError::TooManyOffers { limit: MAX_OFFERS };
        return Err(file.error(KEY, error));
    }
    Ok(())
}

fn check_length(key: &str, value: &str, file: &ProjectFile) -> Result<(), ProjectFileError> {
    if value.len() <= member_names::MAX_NAME_BYTES {
        return Ok(());
    }
    let error = ValueError::TooLong {
        value: value.into(),
        limit: member_names::MAX_NAME_BYTES,
    };
    Err(file.error(key, error))
}

/// Expands the patterns to the names of all members, which must include this coordinator's.
fn read_member_names(
    patterns: &[String],
    name: &str,
    file: &ProjectFile,
) -> Result<BTreeSet<String>, ContentError> {
    const KEY: &str = "peers.group";
    let group = member_names::parse(patterns)
        .map_err(|error| file.error(KEY, ValueError::InvalidMemberNames(error)))?;
    if !member_names::is_valid_name(name) {
        return Err(DeploymentFileError::InvalidMemberName(name.into()).into());
    }
    if !group.contains(name) {
        return Err(file.error(KEY, ValueError::NotAMember(name.into())).into());
    }
    Ok(group)
}
