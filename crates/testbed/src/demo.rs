//! A small fleet to look at: eight stand-in nodes, one coordinator with a watched roster, a little load of its own.

use crate::fleet::{program, roster, Coordinator, Fleet, FleetSpec};
use crate::load::{arrivals, play, worth, End, Ended, Load, WORTH};
use crate::model::Spec;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the live line is written.
const EVERY: Duration = Duration::from_secs(1);

/// Runs until Ctrl-C, or for so many seconds.
pub async fn run(seconds: f64) -> Result<bool, String> {
    let spec = FleetSpec {
        nodes: 8,
        spare: 4,
        cells: 4,
        shards: 16,
        wire: "frames".into(),
        work_ms: [20.0, 15.0],
        spread: 0.4,
        node: Spec::default(),
    };
    let program = program()?;
    let fleet = Fleet::start(spec, 1).await?;
    let folder = std::env::temp_dir().join(format!("cairnroad-demo-{}", std::process::id()));
    let nodes: Vec<usize> = (0..8).collect();
    let list = roster(&fleet, 1, &nodes, &[], &[]);
    let coordinator = Coordinator::start(&program, &fleet, &folder, &list, "", None).await?;
    let [platform, query] = coordinator.fronts;
    println!("platform front  http://{platform}/api");
    println!("query front     http://{query}/stock-search/_search");
    println!("roster          {}", folder.join("servers.toml").display());
    println!("\nTry, in another terminal:\n");
    println!("  curl -s 'http://{query}/stock-search/_search?preference=_shards:1,2' -H 'Content-Type: application/json' -d '{{\"query\":{{\"match\":{{\"sku\":\"A-17\"}}}}}}'");
    println!("  curl -s http://{query}/openapi.json");
    println!(
        "  NODE_CONFIG={0}/config.json CAIRNROAD_FILE={0}/own.toml {1} roster show\n",
        folder.display(),
        program.display()
    );
    let limit = if seconds > 0.0 { seconds } else { 3600.0 };
    let load = Load {
        rate: 20.0,
        span: limit,
        burst: Vec::new(),
        query_front: 0.3,
        retries: 1,
    };
    let ended: Rc<RefCell<Vec<Ended>>> = Rc::default();
    let dues = arrivals(&load, fleet.spec.shards, 1);
    let playing = tokio::task::spawn_local(play(
        dues,
        coordinator.fronts,
        Instant::now(),
        load.retries,
        ended.clone(),
    ));
    let lines = async {
        let mut last = 0;
        loop {
            tokio::time::sleep(EVERY).await;
            let now = ended.borrow();
            let recent = &now[last..];
            let mut took: Vec<f64> = recent
                .iter()
                .filter(|one| one.end == End::Served)
                .map(|one| one.took * 1000.0)
                .collect();
            took.sort_by(f64::total_cmp);
            let at = |share: f64| {
                took.get(((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1)))
                    .copied()
                    .unwrap_or(0.0)
            };
            let asked: f64 = recent.iter().map(|one| WORTH[one.class]).sum();
            let earned: f64 = recent.iter().map(worth).sum();
            println!(
                "{:3} queries/s  service {:.2}  p50 {:4.0} ms  p99 {:4.0} ms  {} parts in all",
                recent.len(),
                if asked > 0.0 { earned / asked } else { 1.0 },
                at(0.5),
                at(0.99),
                fleet.ledger.borrow().arrivals.len()
            );
            last = now.len();
        }
    };
    tokio::select! {
        () = lines => {}
        _ = tokio::signal::ctrl_c() => println!("\nending"),
        () = tokio::time::sleep(Duration::from_secs_f64(limit)) => {}
    }
    playing.abort();
    coordinator.stop().await;
    let broken = fleet.ledger.borrow().broken(&crate::load::ONCE);
    broken
        .iter()
        .for_each(|broken| println!("broken: {broken}"));
    let _ = std::fs::remove_dir_all(&folder);
    Ok(broken.is_empty())
}
