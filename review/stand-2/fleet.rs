//! The gateways, as separate processes with the command of the deploy file, and the platform's
//! balancer in front of them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// A script that takes longer than this cannot run.
const TIME_LIMIT: Duration = Duration::from_secs(116);

/// The gateways that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all gateways and the script after the time limit.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case could not run in {} s", TIME_LIMIT.as_secs());
        for process in RUNNING.lock().unwrap().iter() {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(*process as i32, SIGKILL) };
        }
        std::process::exit(2);
    });
}

/// The time between two readiness checks of the balancer, and the longest wait for an answer.
const CHECK_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    exchange: u16,
}

pub struct Gateway {
    pub name: String,
    ip: IpAddr,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the balancer sends new connections to it.
    in_rotation: AtomicBool,
}

impl Gateway {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.front)
    }

    fn start(&self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/agateroad")
            .arg("--settings")
            .arg(&self.settings)
            .args(["--centre-losses", "0"])
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, self.ports.ready);
        let ask = || {
            let mut connection = Connection::open(address, CHECK_TIME).ok()?;
            connection
                .write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                .ok()?;
            connection.read_head().ok()?
        };
        ask().is_some_and(|head| head.word(1) == "200")
    }

    fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            RUNNING.lock().unwrap().retain(|process| *process != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Fleet {
    pub gateways: Vec<Arc<Gateway>>,
    record: Arc<Record>,
    folder: PathBuf,
}

/// The figures of the deployment that differ between cases.
pub struct Bounds {
    pub retry_slack: u32,
    pub probe_rate: u32,
    pub drain_ms: u32,
}

impl Fleet {
    /// Starts `count` gateways in one zone and waits until they are ready.
    pub fn start(
        count: u8,
        zone: &str,
        store: SocketAddr,
        bounds: &Bounds,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let ports = free_ports().map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("agateroad-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let ips: Vec<_> = (0..count).map(|index| Ipv4Addr::new(127, 0, 0, 11 + index)).collect();
        let seeds: Vec<_> = ips.iter().map(|ip| format!("\"{ip}:{}\"", ports.control)).collect();
        let mut fleet = Self { gateways: Vec::new(), record: Arc::clone(record), folder };
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("edge-{zone}-{}", index + 1);
            let text = settings(&name, zone, *ip, ports, &seeds.join(","), store, bounds);
            let path = fleet.folder.join(format!("{name}.json"));
            std::fs::write(&path, text).map_err(|error| error.to_string())?;
            fleet.gateways.push(Arc::new(Gateway {
                log: fleet.folder.join(format!("{name}.log")),
                name,
                ip: IpAddr::V4(*ip),
                ports,
                settings: path,
                child: Mutex::new(None),
                in_rotation: AtomicBool::new(false),
            }));
        }
        for gateway in &fleet.gateways {
            gateway.start().map_err(|error| format!("a gateway does not start: {error}"))?;
        }
        for gateway in &fleet.gateways {
            fleet.wait_ready(gateway)?;
        }
        fleet.balance();
        Ok(fleet)
    }

    fn wait_ready(&self, gateway: &Gateway) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while !gateway.is_ready() {
            if Instant::now() > until {
                return Err(format!("{} is not ready", gateway.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        gateway.in_rotation.store(true, Ordering::SeqCst);
        Ok(())
    }

    /// Checks the readiness of each gateway once a second. Two misses in a row take it out of
    /// rotation, and an answer takes it back.
    fn balance(&self) {
        for gateway in &self.gateways {
            let (gateway, record) = (Arc::clone(gateway), Arc::clone(&self.record));
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let began = Instant::now();
                    misses = if gateway.is_ready() { 0 } else { misses + 1 };
                    if misses == 0 || misses == 2 {
                        let before = gateway.in_rotation.swap(misses == 0, Ordering::SeqCst);
                        if before != (misses == 0) {
                            let word = if misses == 0 { "in" } else { "out of" };
                            record.write(&format!("{} is {word} rotation", gateway.name));
                        }
                    }
                    thread::sleep(CHECK_TIME.saturating_sub(began.elapsed()));
                }
            });
        }
    }

    /// Returns the gateway that gets the next connection. With fewer than half of them in rotation,
    /// all are used.
    pub fn choose(&self) -> Arc<Gateway> {
        let is_in = |gateway: &&Arc<Gateway>| gateway.in_rotation.load(Ordering::SeqCst);
        let usable: Vec<_> = self.gateways.iter().filter(is_in).collect();
        let all: Vec<_> = self.gateways.iter().collect();
        let list = if usable.len() * 2 < all.len() { all } else { usable };
        Arc::clone(list[(crate::random() * list.len() as f64) as usize])
    }

    /// Stops one gateway with SIGTERM and starts it again once it has ended.
    pub fn restart(&self, gateway: &Gateway, grace: Duration) -> Result<(), String> {
        self.record.say(&format!("SIGTERM to {}", gateway.name));
        gateway.signal(SIGTERM);
        let until = Instant::now() + grace;
        while !gateway.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        let word = if gateway.has_ended() { "has ended" } else { "is killed after its grace" };
        self.record.say(&format!("{} {word}; it starts again", gateway.name));
        gateway.end();
        gateway.start().map_err(|error| error.to_string())?;
        self.wait_ready(gateway)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &self.gateways {
            gateway.end();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns four ports that are free on all addresses.
fn free_ports() -> std::io::Result<Ports> {
    let any = || TcpListener::bind("0.0.0.0:0");
    let (front, ready, control) = (any()?, any()?, any()?);
    let exchange = UdpSocket::bind("0.0.0.0:0")?;
    Ok(Ports {
        front: front.local_addr()?.port(),
        ready: ready.local_addr()?.port(),
        control: control.local_addr()?.port(),
        exchange: exchange.local_addr()?.port(),
    })
}

/// Returns the settings of a gateway: `deploy/settings.json`, filled in as the platform does.
fn settings(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    ports: Ports,
    seeds: &str,
    store: SocketAddr,
    bounds: &Bounds,
) -> String {
    let Ports { front, ready, control, exchange } = ports;
    let template = include_str!("../../deploy/settings.json");
    let mut text = template.to_owned();
    let values = [
        ("{{node|json}}", format!("\"{name}\"")),
        ("{{zone|json}}", format!("\"{zone}\"")),
        ("{{region|json}}", "\"region\"".to_owned()),
        ("{{zones|json}}", format!("{{\"{zone}\":\"region\"}}")),
        ("{{listen.front|json}}", format!("\"{ip}:{front}\"")),
        ("{{listen.ready|json}}", format!("\"{ip}:{ready}\"")),
        ("{{listen.control|json}}", format!("\"{ip}:{control}\"")),
        ("{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seeds.to_owned()),
        ("{{ip}}", ip.to_string()),
        ("{{internalPorts.0}}", exchange.to_string()),
        ("{{platform.address|json}}", format!("\"{store}\"")),
        ("{{limits.cpuCores}}", "1".to_owned()),
        ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
        ("{{bounds.budgetSlack}}", bounds.retry_slack.to_string()),
        ("{{bounds.budgetWindow}}", "10".to_owned()),
        ("{{bounds.probesPerS}}", bounds.probe_rate.to_string()),
        ("{{bounds.drain}}", bounds.drain_ms.to_string()),
        ("{{bounds.grace}}", "6".to_owned()),
    ];
    for (place, value) in values {
        text = text.replace(place, &value);
    }
    text
}

/// Returns whether a path exists; without the program no case can run.
pub fn has_program() -> bool {
    Path::new("target/release/agateroad").exists()
}
