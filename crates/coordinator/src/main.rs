//! The cairnroad coordinator: takes queries from clients on two fronts, has the decision module choose, and
//! sends their parts to servers over one of two backends. See `ARCHITECTURE.md`.

mod admin_api;
mod backends;
mod cli;
mod clock;
mod cluster;
mod commands;
mod configuration;
mod connections;
mod contract;
mod discovery;
#[cfg(test)]
mod errors_page;
mod fronts;
mod http;
mod messages;
mod observability;
#[cfg(test)]
mod parser_tests;
mod pipeline;
mod published_descriptions;
mod signals;
mod socket_activation;
mod timer_wheel;

use cairnroad_admin::shutdown::{GracefulShutdown, ShutdownPhase};
use clap::Parser;
use clock::Clock;
use contract::Contracts;
use fronts::exchange::{Front, Kind};
use messages::{LocalOutliers, Message, Phase, ServedConfiguration};
use pipeline::{Core, CoreChannels};
use signals::Signal;
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

/// Messages from connections and discovery that may wait for the core's next tick.
const MESSAGES: usize = 4096;
/// How often an order to stop is looked at.
const STOP_TICK: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    match cli::Cli::parse().command {
        None | Some(cli::Command::Serve) => run(),
        Some(cli::Command::CheckConfig(output)) => ExitCode::from(commands::check_config(output)),
        Some(cli::Command::Roster(command)) => ExitCode::from(commands::roster(command)),
        Some(cli::Command::Contract(command)) => ExitCode::from(commands::contract(command)),
    }
}

fn run() -> ExitCode {
    let run = || -> Result<(), String> {
        let stop = signals::Kept::new(signal_hook::consts::SIGTERM)
            .map_err(|e| format!("SIGTERM: {e}"))?;
        let hangups =
            signals::Kept::new(signal_hook::consts::SIGHUP).map_err(|e| format!("SIGHUP: {e}"))?;
        let config = configuration::load(variable)?;
        observability::log::start(config.log.level, config.log.format);
        // Before anything else opens a descriptor or starts a thread.
        let inherited = config
            .inherited
            .map(socket_activation::listener)
            .transpose()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        tokio::task::LocalSet::new().block_on(&runtime, serve(config, inherited, stop, hangups))
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("cairnroad: {text}");
            ExitCode::FAILURE
        }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Rereads the configuration at each SIGHUP, whose default action would end the program, and passes on what
/// takes effect live. A faulty file changes nothing.
async fn reload(
    mut hangups: Signal,
    mut config: configuration::Config,
    agent: watch::Sender<SocketAddr>,
    contracts: Rc<Contracts>,
    core: mpsc::Sender<Message>,
) {
    while hangups.recv().await.is_some() {
        let fresh = match configuration::load(variable) {
            Ok(fresh) => fresh,
            Err(text) => {
                tracing::error!(cause = text, "reload: the old settings stay");
                continue;
            }
        };
        if let Some(key) = config.lacked_by(&fresh) {
            tracing::error!(
                key,
                "reload: the file lacks a key that the one in force has: the old settings stay"
            );
            continue;
        }
        match retune(&core, &fresh).await {
            Ok(offer) => config.offer = offer,
            Err(cause) => {
                tracing::error!(cause, "reload: the old settings stay");
                continue;
            }
        }
        contracts.republish(published_descriptions::pages(&config));
        let waiting = config.needs_restart(&fresh);
        if !waiting.is_empty() {
            tracing::warn!(
                keys = waiting.join(", "),
                "reload: what changed here takes a restart"
            );
        }
        if let Some(discovery) = fresh.discovery {
            tracing::info!(%discovery, "reload");
            agent.send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
        }
        if let Err(text) = adopt(&contracts, &fresh).await {
            tracing::error!(cause = text, "reload: the descriptions in force stay");
        }
        (config.discovery, config.stated) = (fresh.discovery, fresh.stated);
    }
}

/// Has the core take other settings, between two ticks and whole or not at all. Returns what is in force then.
async fn retune(
    core: &mpsc::Sender<Message>,
    fresh: &configuration::Config,
) -> Result<Arc<ServedConfiguration>, String> {
    let (reply, taken) = oneshot::channel();
    let offer = Box::new(ServedConfiguration::clone(&fresh.offer));
    core.send(Message::Reconfigure {
        configuration: offer,
        reply,
    })
    .await
    .map_err(|_| "the core ended")?;
    let offer = taken
        .await
        .map_err(|_| "the core ended")?
        .map_err(|fault| fault.to_string())?;
    tell_classes(&offer);
    Ok(offer)
}

fn tell_classes(offer: &ServedConfiguration) {
    for (_, name, class) in offer.deployment.offered() {
        tracing::info!(
            class = name,
            aim_s = class.latency_objective,
            deadline_s = class.deadline,
            "class"
        );
    }
}

/// Reads the descriptions that a configuration names, aside, and puts them into force.
async fn adopt(contracts: &Contracts, config: &configuration::Config) -> Result<(), String> {
    let (plans, backend) = (config.contracts.clone(), config.backend);
    let read = tokio::task::spawn_blocking(move || contract::read(&plans, backend)).await;
    contracts
        .adopt(read.map_err(|e| format!("reading descriptions: {e}"))?)
        .map_err(|error| error.to_string())
}

async fn serve(
    config: configuration::Config,
    inherited: Option<std::net::TcpListener>,
    stop: signals::Kept,
    hangups: signals::Kept,
) -> Result<(), String> {
    let mut stop = Signal::new(stop).map_err(|e| format!("SIGTERM: {e}"))?;
    let hangups = Signal::new(hangups).map_err(|e| format!("SIGHUP: {e}"))?;
    let clock = Clock::new(config.offer.deployment.policy.tick);
    let contracts = Rc::new(Contracts::new(
        clock.clone(),
        published_descriptions::pages(&config),
    ));
    if !config.contracts.is_empty() {
        adopt(&contracts, &config).await?;
    }
    let (asks, asked) = mpsc::channel(pipeline::request_queue::REQUEST_QUEUE_CAPACITY);
    let (to_core, messages) = mpsc::channel(MESSAGES);
    let (phase, phases) = watch::channel(Phase::Starting);
    let (deaf, deafs) = watch::channel(false);
    let phase = Rc::new(phase);
    let places = Rc::new(fronts::client_connections::ClientConnections::default());
    let (offer, offers) = watch::channel(config.offer.clone());
    let shared = inherited.is_some();
    let mut inherited = inherited;
    let addresses = [
        (Some(config.listen), Kind::Platform),
        (config.opensearch, Kind::OpenSearch),
    ];
    let mut listeners = Vec::new();
    for (address, kind) in addresses {
        let Some(address) = address else { continue };
        let listener = match inherited.take_if(|_| kind == Kind::Platform) {
            Some(listener) => TcpListener::from_std(listener),
            None => TcpListener::bind(address).await,
        };
        let listener = listener.map_err(|e| format!("listen on {address}: {e}"))?;
        let bound = listener
            .local_addr()
            .map_err(|e| format!("listen on {address}: {e}"))?;
        let front = if kind == Kind::Platform {
            "platform"
        } else {
            "opensearch"
        };
        tracing::info!(name = config.name, front, address = %bound, "listening");
        let front = Front {
            offer: offers.clone(),
            core: asks.clone(),
            clock: clock.clone(),
            phase: phases.clone(),
            limits: config.limits,
            places: places.clone(),
            kind,
            names: Cell::new(config.seed),
            contracts: contracts.clone(),
        };
        let (mut phases, deaf) = (phases.clone(), deafs.clone());
        listeners.push(tokio::task::spawn_local(async move {
            // Whoever waits at a listener that two processes share is the old one's until this one can serve.
            if shared
                && phases
                    .wait_for(|phase| *phase != Phase::Starting)
                    .await
                    .is_err()
            {
                return;
            }
            fronts::listen(listener, Rc::new(front), deaf).await;
        }));
    }
    tell_classes(&config.offer);
    let mut core = Core::new(
        &config,
        contracts.clone(),
        clock.clone(),
        CoreChannels {
            requests: asked,
            messages,
            message_sender: to_core.clone(),
            phase: phase.clone(),
            served_configuration: offer,
        },
    );
    let peers = match &config.peers {
        None => None,
        Some(settings) => {
            let (tell, doubts) = watch::channel(LocalOutliers::default());
            core.publish_outliers_to(tell);
            let (name, seed) = (config.name.clone(), config.seed);
            let (clock, phases, core) = (clock.clone(), phases.clone(), to_core.clone());
            let given = cluster::Given {
                name,
                seed,
                clock,
                phases,
                doubts,
                core,
            };
            Some(Rc::new(
                cluster::start(settings, given)
                    .await
                    .map_err(|fault| format!("{fault}: {}", fault.help()))?,
            ))
        }
    };
    if let Some(address) = config.admin {
        let fault = |cause: std::io::Error| format!("admin: listen on {address}: {cause}");
        let listener = TcpListener::bind(address).await.map_err(fault)?;
        tracing::info!(address = %listener.local_addr().map_err(fault)?, "operators' calls are taken");
        tokio::task::spawn_local(admin_api::listen(
            listener,
            to_core.clone(),
            phase.clone(),
            peers.clone(),
        ));
    }
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let (agent, agents) = watch::channel(config.discovery.unwrap_or(nowhere));
    match config.files.clone() {
        Some(source) => discovery::file_source::start(source, to_core.clone())
            .map_err(|error| error.to_string())?,
        None => {
            let watch = discovery::watch_endpoints(
                agents,
                to_core.clone(),
                contracts.clone(),
                clock.clone(),
            );
            tokio::task::spawn_local(watch);
        }
    }
    let core = tokio::task::spawn_local(core.run(config.offer.deployment.policy.tick));
    tokio::task::spawn_local(reload(hangups, config, agent, contracts, to_core.clone()));
    tokio::select! {
        _ = stop.recv() => {}
        end = core => return Err(format!("the core ended: {end:?}")),
    }
    // The order to stop: all that still comes is answered, then the program ends. At a listener that is shared all
    // that still comes is the newcomer's.
    if shared {
        listeners.iter().for_each(|listener| listener.abort());
    }
    let longest = offers.borrow().deployment.longest_deadline();
    let mut stop = GracefulShutdown::new(clock.now(), longest);
    places.answer_by(stop.answer_deadline());
    // What is open already may have longer than that.
    let _ = to_core
        .send(Message::FinishBy(stop.answer_deadline()))
        .await;
    loop {
        let step = stop.advance(clock.now(), places.seen());
        let next = match step {
            ShutdownPhase::Serving => Phase::ShuttingDown,
            ShutdownPhase::IdleConnectionsClosed | ShutdownPhase::ListenerClosed => {
                Phase::IdleConnectionsClosing
            }
            ShutdownPhase::Rejecting | ShutdownPhase::Finished => Phase::PartialRequestsRejected,
        };
        phase.send_if_modified(|phase| std::mem::replace(phase, next) != next);
        if step >= ShutdownPhase::ListenerClosed {
            deaf.send_replace(true);
        }
        if step == ShutdownPhase::Finished {
            break;
        }
        tokio::time::sleep(STOP_TICK).await;
    }
    if let Some(peers) = peers {
        peers.leave().await;
    }
    Ok(())
}
