//! Instances of the router as real processes, with the command and the settings of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    store::{Door, Store},
};

/// One instance. Its process is ended when it is dropped.
pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    pub metrics: SocketAddr,
    pub door: Door,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        let head = "GET /ready HTTP/1.1\r\nHost: balancer\r\n\r\n";
        http::call(self.metrics, head, b"", Duration::from_millis(500)).status == 200
    }
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Ports below those that the system gives to outgoing connections, which could take one of them
/// before an instance listens there.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Free ports, each for TCP and UDP.
fn free_ports() -> impl Iterator<Item = SocketAddr> {
    let first = std::process::id() as u16 % PORTS.len() as u16;
    let ports = (0..PORTS.len() as u16).map(move |it| (first + it) % PORTS.len() as u16);
    let addresses = ports.map(|it| SocketAddr::from(([127, 0, 0, 1], PORTS.start + it)));
    addresses.filter(|it| TcpListener::bind(it).is_ok() && UdpSocket::bind(it).is_ok())
}

/// Starts instances, each with its name and its data centre, and waits until all are ready.
pub fn start(
    folder: &Folder,
    store: &Store,
    names: &[(&str, &str)],
    memory_note: &str,
) -> Result<Vec<Instance>, String> {
    let text = |e: std::io::Error| e.to_string();
    let all: Vec<SocketAddr> = free_ports().take(names.len() * 5).collect();
    let ports: Vec<&[SocketAddr]> = all.chunks_exact(5).collect();
    let seeds: Vec<String> =
        ports.iter().take(3).enumerate().map(|(i, it)| format!("seed-{i}@{}", it[1])).collect();
    let mut instances = Vec::new();
    for ((name, zone), ports) in names.iter().zip(&ports) {
        let door = store.open_door().map_err(text)?;
        let [caller, control, operator, metrics, notes] = ports[..] else {
            return Err("too few free ports".to_owned());
        };
        let settings = format!(
            "; {memory_note}\n[instance]\nname = {name}\ndata-centre = {zone}\ncores = 0.25\n\
             seeds = {}\n\n[listen]\ncaller = {caller}\ncontrol = {control}\nnotes = {notes}\n\
             operator = {operator}\nmetrics = {metrics}\n\n[platform]\naddress = http://{}\n\
             heartbeat-ms = 1200\n\n[keys]\ncontrol-key-env = SESAMELOCK_FLEET_KEY\n\
             operator-key-hash = \
             fae93e83809dcd8eb6b5ae9112078ae7ef5c139d3078e2dad72402ceecf5ef0a\n\n[bounds]\n\
             descriptors = 4100\n\n[periods]\ngrace-s = 8\n\n[retries]\nratio = 0.2\n\
             allowance = 58\nwindow-s = 10\n\n[warmup]\novershoot = 1.5\nallowance = 5\n\n\
             [sharing]\nwindow-s = 4\n\n[log]\nformat = json\nlevel = info\n",
            seeds.join(","),
            door.address,
        );
        let path = folder.0.join(format!("{name}.ini"));
        fs::write(&path, settings).map_err(text)?;
        let log = File::create(folder.0.join(format!("{name}.log"))).map_err(text)?;
        let child = Command::new("target/release/sesamelock")
            .args(["run", "--settings"])
            .arg(&path)
            .env("SESAMELOCK_FLEET_KEY", "sesamelock-on-the-users-platform")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("target/release/sesamelock does not start: {e}"))?;
        let name = (*name).to_owned();
        instances.push(Instance { name, caller, metrics, door, child });
    }
    let deadline = Instant::now() + Duration::from_secs(20);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > deadline {
            return Err("the instances are not ready after 20 s".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(instances)
}

/// The machines of te-byw-cymru.
pub const NINE: [(&str, &str); 9] = [
    ("edge-caerdydd-1", "caerdydd"),
    ("edge-caerdydd-2", "caerdydd"),
    ("edge-caerdydd-3", "caerdydd"),
    ("edge-abertawe-1", "abertawe"),
    ("edge-abertawe-2", "abertawe"),
    ("edge-abertawe-3", "abertawe"),
    ("edge-aberystwyth-1", "aberystwyth"),
    ("edge-aberystwyth-2", "aberystwyth"),
    ("edge-bangor-1", "bangor"),
];
