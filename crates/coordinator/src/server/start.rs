//! Constructs the program: [`serve`] starts the components in order, each by a separate function.

use super::context::Context;
use super::error::{ServerError, Signal};
use super::listeners::ClientListeners;
use super::reload::{log_offered_classes, Reloader};
use super::{descriptions, shutdown, Signals};
use crate::clock::Clock;
use crate::cluster::{self, ClusterDependencies, ClusterHandle};
use crate::configuration::Config;
use crate::messages::LocalOutliers;
use crate::pipeline::Core;
use crate::signals::SignalStream;
use crate::{admin_api, discovery};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Placeholder for the discovery agent's address if the endpoint list is read from files.
const NO_AGENT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts all components, waits for SIGTERM and shuts down.
pub async fn serve(
    config: Config,
    inherited_listener: Option<std::net::TcpListener>,
    signals: Signals,
) -> Result<(), ServerError> {
    let mut terminate = SignalStream::new(signals.terminate)
        .map_err(|source| ServerError::signal(Signal::Terminate, source))?;
    let hangups = SignalStream::new(signals.hangup)
        .map_err(|source| ServerError::signal(Signal::Hangup, source))?;
    let tick = config.served.deployment.policy.tick;
    let clock = Clock::new(tick);
    let contracts = descriptions::start(&config, &clock).await?;
    let (context, core_channels) = Context::new(&config, clock, contracts);
    let listeners = ClientListeners::start(&config, inherited_listener, &context).await?;
    log_offered_classes(&config.served);
    // The core starts with the suspensions and the endpoint list of the previous process.
    let mut core = Core::new(
        &config,
        context.contracts.clone(),
        context.clock.clone(),
        core_channels,
    );
    let cluster = join_cluster(&config, &context, &mut core).await?;
    start_admin_api(&config, &context, cluster.as_ref()).await?;
    let agent_address = start_discovery(&config, &context)?;
    let core = tokio::task::spawn_local(core.run(tick));
    let reloader = Reloader::new(config, agent_address, &context);
    tokio::task::spawn_local(reloader.run(hangups));
    tokio::select! {
        _ = terminate.recv() => {}
        result = core => return Err(ServerError::CoreEnded(result)),
    }
    shutdown::shut_down(&context, &listeners).await;
    if let Some(cluster) = cluster {
        cluster.leave().await;
    }
    Ok(())
}

/// Joins the cluster of coordinators, if the configuration enables it.
async fn join_cluster(
    config: &Config,
    context: &Context,
    core: &mut Core,
) -> Result<Option<Rc<ClusterHandle>>, ServerError> {
    let Some(settings) = &config.cluster else {
        return Ok(None);
    };
    let (outliers, outlier_updates) = watch::channel(LocalOutliers::default());
    core.publish_outliers_to(outliers);
    let dependencies = ClusterDependencies {
        name: config.name.clone(),
        random_seed: config.seed,
        clock: context.clock.clone(),
        phase_updates: context.phase.subscribe(),
        outlier_updates,
        core_messages: context.messages.clone(),
    };
    let cluster = cluster::start(settings, dependencies).await?;
    Ok(Some(Rc::new(cluster)))
}

/// Starts the admin API, if the configuration sets its address.
async fn start_admin_api(
    config: &Config,
    context: &Context,
    cluster: Option<&Rc<ClusterHandle>>,
) -> Result<(), ServerError> {
    let Some(address) = config.admin_listen else {
        return Ok(());
    };
    let error = |source| ServerError::AdminListen { address, source };
    let listener = TcpListener::bind(address).await.map_err(error)?;
    let bound = listener.local_addr().map_err(error)?;
    tracing::info!(address = %bound, "admin API listening");
    tokio::task::spawn_local(admin_api::listen(
        listener,
        context.messages.clone(),
        context.phase.clone(),
        cluster.cloned(),
    ));
    Ok(())
}

/// Starts to follow the endpoint list, from files or from the discovery agent. A reload sends the agent's new address
/// through the returned sender.
fn start_discovery(
    config: &Config,
    context: &Context,
) -> Result<watch::Sender<SocketAddr>, ServerError> {
    let agent_address = watch::Sender::new(config.discovery.unwrap_or(NO_AGENT));
    let messages = context.messages.clone();
    match config.endpoint_files.clone() {
        Some(settings) => discovery::file_source::start(settings, messages)
            .map_err(|cause| ServerError::EndpointFiles(cause.into()))?,
        None => {
            let contracts = context.contracts.clone();
            let clock = context.clock.clone();
            let agents = agent_address.subscribe();
            let served = context.served_configuration.clone();
            let watch = discovery::watch_endpoints(agents, messages, served, contracts, clock);
            tokio::task::spawn_local(watch);
        }
    }
    Ok(agent_address)
}
