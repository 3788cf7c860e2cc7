//! Starts the programs of the deploy file as processes on loopback addresses, with settings like those
//! of a small deployment, and a stand-in for the platform's list of servers.

use crate::http::{Answer, Conn, call_within};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const ZONES: [&str; 4] = ["akl-a", "akl-b", "hlz-a", "wlg-a"];

static SEED: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// A number that differs from run to run.
pub fn random() -> u64 {
    let count = RANDOM.fetch_add(1, SeqCst);
    let start = *SEED.get_or_init(|| {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        now.as_nanos() as u64 ^ ((std::process::id() as u64) << 40)
    });
    let mut mixed = start.wrapping_add(count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Front,
    Core,
    Store,
}

impl Role {
    pub fn name(self) -> &'static str {
        match self {
            Role::Front => "front",
            Role::Core => "core",
            Role::Store => "store",
        }
    }
    fn base(self) -> u8 {
        match self {
            Role::Front => 10,
            Role::Core => 50,
            Role::Store => 80,
        }
    }
}

/// Loopback addresses and ports of one run.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
    pub port: u16,
}

impl Net {
    fn free() -> Net {
        for _ in 0..50 {
            let net = Net {
                a: 64 + (random() % 128) as u8,
                b: (random() % 250) as u8 + 1,
                port: 18_000 + (random() % 6_000) as u16,
            };
            let is_free =
                (0..24).all(|offset| TcpListener::bind((net.ip(50), net.port + offset)).is_ok());
            if is_free {
                return net;
            }
        }
        panic!("no free ports");
    }
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, host)
    }
    pub fn at(&self, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), self.port + offset))
    }
}

/// One server on the platform's list.
#[derive(Clone, Debug)]
pub struct Instance {
    pub id: String,
    pub target: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    pub is_draining: bool,
}

/// The stand-in of the platform.
#[derive(Default)]
pub struct Platform {
    pub instances: Mutex<Vec<Instance>>,
    pub calls: AtomicU64,
}

impl Platform {
    fn page(&self) -> String {
        let list: Vec<String> = self
            .instances
            .lock()
            .unwrap()
            .iter()
            .map(|one| {
                format!(
                    "{{\"target\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"capacity\":{},\"lifecycle\":\"{}\",\"cold-left-ms\":0,\"instance-id\":\"{}\"}}",
                    one.target,
                    one.address,
                    one.zone,
                    one.capacity,
                    if one.is_draining { "draining" } else { "ready" },
                    one.id
                )
            })
            .collect();
        format!(
            "{{\"instance-list\":[{}],\"next-token\":null}}",
            list.join(",")
        )
    }

    fn serve(self: Arc<Self>, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the platform's address is taken");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = self.clone();
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(head)) = conn.read_head() {
                        platform.calls.fetch_add(1, SeqCst);
                        let body = if head.target().starts_with("/instances") {
                            platform.page()
                        } else {
                            "{}".into()
                        };
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if conn.write(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
}

/// What is written to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        Arc::new(Record {
            file: Mutex::new(File::create(path).expect("the record cannot be written")),
            started: Instant::now(),
        })
    }
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3}  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

struct Machine {
    role: Role,
    index: u8,
    child: Option<Child>,
    starts: u32,
}

pub struct Fleet {
    pub net: Net,
    pub platform: Arc<Platform>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
    machines: Machines,
}

type Machines = Arc<Mutex<BTreeMap<String, Machine>>>;

/// All fleets of this run; none once they have been ended.
static FLEETS: Mutex<Option<Vec<(Machines, PathBuf)>>> = Mutex::new(Some(vec![]));

/// Ends all processes that were started and removes their folders. Nothing is started after it.
pub fn end_all() {
    let fleets = FLEETS
        .lock()
        .unwrap_or_else(|error| error.into_inner())
        .take();
    for (machines, folder) in fleets.into_iter().flatten() {
        let mut machines = machines.lock().unwrap_or_else(|error| error.into_inner());
        for machine in machines.values_mut() {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&folder);
    }
}

impl Fleet {
    pub fn new(record: &Arc<Record>, fronts: u8, cores: u8, stores: u8) -> Fleet {
        let net = Net::free();
        let folder = std::env::temp_dir().join(format!(
            "yewcross-review-{}-{:x}",
            std::process::id(),
            random()
        ));
        std::fs::create_dir_all(&folder).expect("no temporary folder");
        let platform = Arc::new(Platform::default());
        platform.clone().serve(net.at(240, 20));
        let mut machines = BTreeMap::new();
        for (role, count) in [
            (Role::Core, cores),
            (Role::Store, stores),
            (Role::Front, fronts),
        ] {
            for index in 0..count {
                let machine = Machine {
                    role,
                    index,
                    child: None,
                    starts: 0,
                };
                machines.insert(format!("{}-{index}", role.name()), machine);
            }
        }
        let machines = Arc::new(Mutex::new(machines));
        if let Some(fleets) = FLEETS.lock().unwrap().as_mut() {
            fleets.push((machines.clone(), folder.clone()));
        }
        Fleet {
            net,
            platform,
            record: record.clone(),
            folder,
            machines,
        }
    }

    pub fn front(&self, index: u8) -> SocketAddr {
        self.net.at(Role::Front.base() + index, 16)
    }
    pub fn ready(&self, index: u8) -> SocketAddr {
        self.net.at(Role::Front.base() + index, 17)
    }
    pub fn control(&self, index: u8) -> SocketAddr {
        self.net.at(Role::Core.base() + index, 18)
    }

    fn cores(&self) -> u8 {
        let machines = self.machines.lock().unwrap();
        machines
            .values()
            .filter(|one| one.role == Role::Core)
            .count() as u8
    }

    fn write_settings(&self, name: &str, role: Role, index: u8, is_first: bool) {
        let ip = self.net.ip(role.base() + index);
        let port = self.net.port;
        let zone = ZONES[index as usize % ZONES.len()];
        let seeds: Vec<String> = (0..self.cores().min(3))
            .map(|core| self.control(core).to_string())
            .collect();
        let (memory, fds, disk, cpu) = match role {
            Role::Front => (260, 4100, 0, "0.25"),
            Role::Core => (256, 4096, 128, "0.3"),
            Role::Store => (270, 8200, 310, "0.5"),
        };
        let serves = match role {
            Role::Front => "front",
            Role::Core => "control",
            Role::Store => "store",
        };
        let mut text = format!(
            "node-name={name}\nrole={}\nmachine-class={}\nserves={serves}\nip={ip}\nzone={zone}\nregion=nz-north\n",
            role.name(),
            role.name()
        );
        for zone in ZONES {
            text += &format!("zones.{zone}=nz-north\n");
        }
        match role {
            Role::Front => {
                text += &format!(
                    "bind-addrs.front={}\nbind-addrs.ready={}\n",
                    self.front(index),
                    self.ready(index)
                );
            }
            Role::Core => text += &format!("bind-addrs.control={}\n", self.control(index)),
            Role::Store => {}
        }
        if role != Role::Front {
            text += &format!("data-dir={}\n", self.data_dir(name).display());
        }
        text += &format!(
            "inner-ports={port},{}\nseed-addrs={}\nfirst-start={is_first}\ncounted={}\n",
            port + 15,
            seeds.join(","),
            role != Role::Front
        );
        text += &format!(
            "limits.cpu-share={cpu}\nlimits.cores=1\nlimits.memory-mb={memory}\nlimits.max-fds={fds}\nlimits.link-mbps=1000.0\nlimits.disk-mb={disk}\n"
        );
        text += "discovery=cloud_api\nentry=vip\nbeat-ms=1200\ncontracts=base,drain,config,cost,recover,agent,stream,engine\n";
        text += "tolerance.machines=1\ntolerance.zones=0\ntolerance.regions=0\n";
        text += "bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.catch-up-s=4.2\nbounds.drain-ms=3000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\nbounds.apply-ms=2000\nbounds.revert-slack-ms=250\nbounds.stretch-ms=5000\nbounds.recover-s=12\nbounds.pass-ms=120\nbounds.finish-by-s=10\nbounds.settle-ms=1000\n";
        text += &format!(
            "cloud-api.address={}\ncloud-api.rate-per-s=47.0\ncloud-api.duties=\ncloud-api.lag-ms=800\n",
            self.net.at(240, 20)
        );
        std::fs::write(self.folder.join(format!("{name}.conf")), text).expect("settings");
    }

    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.data"))
    }

    /// Starts the process of a machine.
    pub fn start(&self, name: &str) {
        let fleets = FLEETS.lock().unwrap();
        if fleets.is_none() {
            return;
        }
        let (role, index, starts) = {
            let machines = self.machines.lock().unwrap();
            let machine = &machines[name];
            (machine.role, machine.index, machine.starts)
        };
        self.write_settings(name, role, index, starts == 0);
        if role != Role::Front {
            let _ = std::fs::create_dir_all(self.data_dir(name));
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log");
        let keep = |name: &str| {
            std::env::var(name)
                .map(|value| (name.to_string(), value))
                .ok()
        };
        let child = Command::new("target/release/yewcross-platform")
            .arg(role.name())
            .env_clear()
            .envs(["PATH", "HOME", "LANG"].into_iter().filter_map(keep))
            .env("MALLOC_ARENA_MAX", "1")
            .env("YEWCROSS_CONFIG", self.folder.join(format!("{name}.conf")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file cannot be started");
        self.record
            .line(&format!("started {name}, process {}", child.id()));
        let mut machines = self.machines.lock().unwrap();
        let machine = machines.get_mut(name).unwrap();
        machine.child = Some(child);
        machine.starts += 1;
    }

    /// Adds a machine that was not there at the first start.
    pub fn add(&self, role: Role, index: u8) -> String {
        let name = format!("{}-{index}", role.name());
        let machine = Machine {
            role,
            index,
            child: None,
            starts: 1,
        };
        self.machines.lock().unwrap().insert(name.clone(), machine);
        name
    }

    /// Sends an order about a machine to a core.
    pub fn order(&self, core: u8, method: &str, target: &str, body: &str) -> Answer {
        let headers = [
            ("Host", "control".to_string()),
            ("Content-Type", "application/json".into()),
        ];
        let answer = call_within(
            self.control(core),
            method,
            target,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        self.record.line(&format!(
            "{method} {target} {body} to core-{core}: {} {text}",
            answer.status
        ));
        answer
    }

    pub fn start_all(&self) {
        let names: Vec<String> = self.machines.lock().unwrap().keys().cloned().collect();
        for name in names {
            self.start(&name);
        }
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.machines.lock().unwrap()[name]
            .child
            .as_ref()
            .map(|child| child.id());
        if let Some(id) = id {
            self.record.line(&format!("signal {signal} to {name}"));
            let _ = Command::new("kill")
                .args([format!("-{signal}"), id.to_string()])
                .status();
        }
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&self, name: &str) {
        let child = self
            .machines
            .lock()
            .unwrap()
            .get_mut(name)
            .unwrap()
            .child
            .take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("killed {name}"));
        }
    }

    /// Waits for the end of a process that was asked to end; returns how it ended.
    pub fn wait_end(&self, name: &str, timeout: Duration) -> Option<String> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            let mut machines = self.machines.lock().unwrap();
            let machine = machines.get_mut(name).unwrap();
            match machine.child.as_mut()?.try_wait() {
                Ok(Some(status)) => {
                    machine.child = None;
                    return Some(status.to_string());
                }
                _ => drop(machines),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Processes that have ended although nobody asked for it.
    pub fn ended(&self) -> Vec<String> {
        let mut machines = self.machines.lock().unwrap();
        let mut ended = vec![];
        for (name, machine) in machines.iter_mut() {
            if let Some(child) = &mut machine.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{name}: {status}"));
                machine.child = None;
            }
        }
        ended
    }

    pub fn pids(&self) -> Vec<(String, u32)> {
        let machines = self.machines.lock().unwrap();
        machines
            .iter()
            .filter_map(|(name, one)| Some((name.clone(), one.child.as_ref()?.id())))
            .collect()
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&self, name: &str) {
        let _ = std::fs::remove_dir_all(self.data_dir(name));
        self.record.line(&format!("disk of {name} emptied"));
    }

    /// Sends an order until a core acknowledges it; returns the status of the last answer.
    pub fn put_until(&self, base: u64, text: &str, timeout: Duration) -> u16 {
        let end = Instant::now() + timeout;
        let mut core = 0;
        let mut status = 0;
        while Instant::now() < end {
            status = self.put(core % self.cores(), base, text).status;
            if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                return status;
            }
            core += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        status
    }

    /// Sends an order once.
    pub fn put(&self, core: u8, base: u64, text: &str) -> Answer {
        let headers = [
            ("Host", "control".to_string()),
            ("Base-Version", base.to_string()),
            ("Content-Type", "application/json".into()),
        ];
        let answer = call_within(
            self.control(core),
            "POST",
            "/-/config/replace",
            &headers,
            text.as_bytes(),
            Duration::from_secs(1),
        );
        self.record.line(&format!(
            "order on {base} to core-{core}: {} {}",
            answer.status, answer.error
        ));
        answer
    }

    /// Waits until every front calls itself ready.
    pub fn wait_ready(&self, fronts: u8, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if (0..fronts).all(|front| self.is_ready(front)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self, front: u8) -> bool {
        let headers = [("Host", "ready".to_string())];
        call_within(
            self.ready(front),
            "GET",
            "/-/readiness",
            &headers,
            b"",
            Duration::from_secs(1),
        )
        .status
            == 200
    }
}
