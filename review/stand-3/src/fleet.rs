//! Gateway processes, started with the command and the settings of the deploy file.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::json;
use tokio::process::{Child, Command};

use crate::caller;
use crate::store::Store;

/// A gateway process.
pub struct Gateway {
    /// The name of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address for clients.
    pub front: SocketAddr,
    /// The address of readiness checks.
    pub ready: SocketAddr,
    /// The process, until it was killed.
    pub child: Option<Child>,
}

/// The addresses of a machine.
struct Machine {
    name: String,
    zone: String,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    exchange: SocketAddr,
}

/// The gateways, their settings and their logs.
pub struct Fleet {
    /// The processes.
    pub gateways: Vec<Gateway>,
    /// The control addresses of the first machine of each zone.
    seeds: Vec<SocketAddr>,
    zones: Vec<String>,
    store: SocketAddr,
    folder: PathBuf,
}

/// Ports of a machine: for clients, readiness, control and datagrams.
const PORTS: [u16; 4] = [8381, 8388, 8382, 7200];

/// Returns an address of a machine of its own on the loopback network. Outgoing connections use
/// 127.0.0.1, so that they take none of its ports.
fn machine_ip(zone: usize, index: usize) -> Ipv4Addr {
    let run = 1 + (std::process::id() % 250) as u8;
    Ipv4Addr::new(127, run, zone as u8 + 1, index as u8)
}

/// Checks that a port is free.
fn check_free(address: SocketAddr) -> io::Result<()> {
    TcpListener::bind(address)?;
    UdpSocket::bind(address)?;
    Ok(())
}

impl Fleet {
    /// Starts `per_zone` gateways in each zone. The first one of each zone is a seed, as in the
    /// settings on the users' page.
    pub fn start(
        store: &Store,
        zones: &[&str],
        per_zone: usize,
        folder: &Path,
    ) -> io::Result<Self> {
        let names = zones.iter().map(|zone| (*zone).to_owned()).collect();
        let (gateways, seeds) = (Vec::new(), Vec::new());
        let (store, folder) = (store.address(), folder.to_owned());
        let mut fleet = Self { gateways, seeds, zones: names, store, folder };
        let mut machines = Vec::new();
        for (zone, _) in zones.iter().enumerate() {
            for index in 1..=per_zone {
                let machine = fleet.machine(zone, index)?;
                if index == 1 {
                    fleet.seeds.push(machine.control);
                }
                machines.push(machine);
            }
        }
        for machine in machines {
            fleet.run(machine)?;
        }
        Ok(fleet)
    }

    /// Adds a machine that was not there before: the one with number `index` of a zone.
    pub fn add(&mut self, zone: usize, index: usize) -> io::Result<()> {
        let machine = self.machine(zone, index)?;
        self.run(machine)
    }

    fn machine(&self, zone: usize, index: usize) -> io::Result<Machine> {
        let ip = machine_ip(zone, index);
        let [front, ready, control, exchange] = PORTS.map(|port| SocketAddr::from((ip, port)));
        for address in [front, ready, control, exchange] {
            check_free(address)?;
        }
        let zone = self.zones[zone].clone();
        let name = format!("edge-{zone}-{index}");
        Ok(Machine { name, zone, front, ready, control, exchange })
    }

    fn run(&mut self, machine: Machine) -> io::Result<()> {
        let Machine { name, zone, front, ready, control, exchange } = machine;
        let regions = self.zones.iter().map(|zone| (zone.clone(), json!("region")));
        let regions: serde_json::Map<_, _> = regions.collect();
        // The template of the deploy file, filled in.
        let settings = json!({
            "interface": "platform", "vm_name": name, "data_centre": zone, "region": "region",
            "regions": regions, "caller_address": front, "metrics_address": ready,
            "control_address": control, "peer_seeds": self.seeds, "exchange_address": exchange,
            "platform_address": self.store,
            "peer_secrets": ["agateroad-peers-of-one-deployment"],
            "operator_secrets": ["agateroad-operators-of-one-deployment"],
            "worker_count": 1, "log_level": "info", "log_format": "json",
            "fleet": {"retry_ratio": 0.2, "retry_slack": 58, "retry_window_ms": 10000,
                "probe_rate": 60, "drain_ms": 2000, "stop_limit_ms": 6000},
            "timeouts": {"connect_ms": 250, "platform_ms": 1500, "head_ms": 20000,
                "caller_idle_ms": 20000, "upstream_idle_ms": 6000, "leave_ms": 3200}
        });
        std::fs::write(self.folder.join(format!("{name}.json")), settings.to_string())?;
        let child = self.spawn(&name)?;
        self.gateways.push(Gateway { name, zone, front, ready, child: Some(child) });
        Ok(())
    }

    /// Waits until all gateways are ready. Returns whether they are.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let until = tokio::time::Instant::now() + limit;
        for gateway in &self.gateways {
            while !caller::is_ready(gateway.ready).await {
                if tokio::time::Instant::now() > until {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Starts the process of a killed gateway again, with the same settings.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        self.gateways[index].child = Some(self.spawn(&self.gateways[index].name)?);
        Ok(())
    }

    /// Starts a process with the command of the deploy file and the path of the settings.
    fn spawn(&self, name: &str) -> io::Result<Child> {
        let log = self.folder.join(format!("{name}.log"));
        let log = std::fs::File::options().create(true).append(true).open(log)?;
        Command::new("target/release/agateroad")
            .arg("--settings")
            .arg(self.folder.join(format!("{name}.json")))
            .args(["--centre-losses", "0"])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Kills the process of a gateway (SIGKILL) and waits for its end.
    pub async fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.gateways[index].child.take() {
            let _ = child.kill().await;
        }
    }

    /// Kills all processes that are left.
    pub async fn end(mut self) {
        for index in 0..self.gateways.len() {
            self.kill(index).await;
        }
    }
}
