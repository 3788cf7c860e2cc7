//! A complete tier with its servers on the local machine, with real processes, sockets and files.

use crate::caller::{self, RequestLog};
use crate::stub_server::StubServerSettings;
use crate::topology::{Topology, topology};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::buffered_http::fetch;
use yewcross_common::constants::*;
use yewcross_common::process_settings::{ProcessSettings, Role};
use yewcross_common::runtime::*;

/// The processes of a deployment on the local machine. Dropping it ends those that run.
pub struct Fleet {
    /// Runtime on which requests are sent.
    pub runtime: Runtime,
    /// The deployment, with local addresses and data directories.
    pub topology: Arc<Topology>,
    /// Directory for startup files, data and logs.
    dir: PathBuf,
    /// Directory of the executables.
    executable_dir: PathBuf,
    /// Running processes by name.
    children: BTreeMap<String, Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.children.values_mut().for_each(|child| {
            let _ = child.kill();
            let _ = child.wait();
        });
    }
}

impl Fleet {
    /// Chooses ports for the named deployment, checks that the executables exist and creates the
    /// directory, but starts nothing. Ports begin at `base`, or for 0 at the first free range.
    pub fn prepare(runtime: &Runtime, name: &str, dir: &Path, base: u16) -> Result<Fleet, String> {
        let topology_at = |base: u16| {
            topology(name, &move |index: usize, listener: u16| {
                SocketAddr::from(([127, 0, 0, 1], base + 2 * index as u16 + listener))
            })
        };
        let has_free_ports = |topology: &Topology| {
            let addresses = topology
                .nodes
                .iter()
                .flat_map(|node| [node.peer, node.http])
                .chain(topology.servers.iter().map(|server| server.addr))
                .chain([topology.platform]);
            addresses
                .map(std::net::TcpListener::bind)
                .collect::<Result<Vec<_>, _>>()
                .is_ok()
        };
        // Without a given base, takes the first range in which all ports are free. The search
        // starts at a range that depends on the process id, so that concurrent fleets seldom try
        // the same one.
        let first_range = (std::process::id() % 60) as u16;
        let bases: Vec<u16> = if base > 0 {
            vec![base]
        } else {
            (0..60)
                .map(|i| 20_000 + 500 * ((first_range + i) % 60))
                .collect()
        };
        let mut chosen_topology = None;
        for candidate in bases {
            let topology = topology_at(candidate).ok_or(format!(
                "no shape {name}; available: kowhai, consorcio, small"
            ))?;
            if base > 0 || has_free_ports(&topology) {
                chosen_topology = Some(topology);
                break;
            }
        }
        let mut topology =
            chosen_topology.ok_or("no free range of ports between 20000 and 49999")?;
        topology
            .nodes
            .iter_mut()
            .filter(|node| node.role != Role::Front)
            .for_each(|node| node.data = dir.join(&node.name).display().to_string());
        let executable = std::env::current_exe().map_err(|error| error.to_string())?;
        let executable_dir = executable
            .parent()
            .map(|path| path.to_path_buf())
            .unwrap_or_default();
        let executable_dir = if executable_dir.ends_with("deps") {
            executable_dir
                .parent()
                .map(|path| path.to_path_buf())
                .unwrap_or_default()
        } else {
            executable_dir
        };
        for program in ["yewcross-front", "yewcross-control", "yewcross-lab"] {
            if !executable_dir.join(program).exists() {
                return Err(format!(
                    "{} does not exist; run cargo build",
                    executable_dir.join(program).display()
                ));
            }
        }
        std::fs::create_dir_all(dir).map_err(|error| format!("{}: {error}", dir.display()))?;
        Ok(Fleet {
            runtime: runtime.clone(),
            topology: Arc::new(topology),
            dir: dir.into(),
            executable_dir,
            children: BTreeMap::new(),
        })
    }

    /// Starts a program whose output is appended to `NAME.log`.
    fn spawn(&mut self, name: &str, program: &str, arguments: &[String]) -> Result<(), String> {
        let stdout = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let stderr = stdout.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(self.executable_dir.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.children.insert(name.into(), child);
        Ok(())
    }

    /// Starts one stub server.
    pub fn start_stub_server(&mut self, settings: &StubServerSettings) -> Result<(), String> {
        let path = self.dir.join(format!("{}.json", settings.server));
        std::fs::write(&path, serde_json::to_vec(settings).unwrap_or_default())
            .map_err(|error| error.to_string())?;
        self.spawn(
            &settings.server.clone(),
            "yewcross-lab",
            &[
                "standin".into(),
                "--spec".into(),
                path.display().to_string(),
            ],
        )
    }

    /// Starts one process of the tier.
    pub fn start_node(&mut self, settings: &ProcessSettings) -> Result<(), String> {
        let path = self.dir.join(format!("{}.toml", settings.name));
        std::fs::write(
            &path,
            toml::to_string(settings).map_err(|error| error.to_string())?,
        )
        .map_err(|error| error.to_string())?;
        let program = if settings.role == Role::Front {
            "yewcross-front"
        } else {
            "yewcross-control"
        };
        self.spawn(
            &settings.name.clone(),
            program,
            &["--startup".into(), path.display().to_string()],
        )
    }

    /// Starts the platform, all stub servers and all processes of the tier.
    pub fn start_all(&mut self) -> Result<(), String> {
        let topology = self.topology.clone();
        let path = self.dir.join("list.json");
        std::fs::write(
            &path,
            serde_json::to_vec(&topology.server_list()).unwrap_or_default(),
        )
        .map_err(|error| error.to_string())?;
        let arguments = [
            "platform".into(),
            "--at".into(),
            topology.platform.to_string(),
            "--list".into(),
            path.display().to_string(),
        ];
        self.spawn("platform", "yewcross-lab", &arguments)?;
        topology
            .servers
            .iter()
            .try_for_each(|settings| self.start_stub_server(settings))?;
        topology
            .nodes
            .iter()
            .try_for_each(|settings| self.start_node(settings))
    }

    /// Process id of a running process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(|child| child.id())
    }

    /// Ends one process at once, as a crash would.
    pub fn kill(&mut self, name: &str) {
        self.children
            .remove(name)
            .into_iter()
            .for_each(|mut child| {
                let _ = child.kill();
                let _ = child.wait();
            });
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`, to one process.
    pub fn signal(&self, name: &str, signal: &str) {
        self.pid(name).into_iter().for_each(|pid| {
            let _ = Command::new("kill")
                .args([signal, &pid.to_string()])
                .status();
        });
    }

    /// Waits for a process to end. Returns its exit code, or `None` if a signal ended it.
    pub fn wait_exit(&mut self, name: &str) -> Option<i32> {
        self.children
            .remove(name)
            .and_then(|mut child| child.wait().ok())
            .and_then(|status| status.code())
    }

    /// Sends a GET request; `None` if there is no answer within one second or it is not JSON.
    pub async fn get_json(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let response = fetch(
            &self.runtime,
            address,
            http_types::Method::Get,
            path,
            &[],
            vec![],
            SEC,
        )
        .await
        .ok()?;
        serde_json::from_slice(&response.2).ok()
    }

    /// Sends a request and returns the status and the JSON body of the answer. The status is 0, and
    /// the value the error, if there is no answer within 8 s.
    pub async fn send_request(
        &self,
        address: SocketAddr,
        method: http_types::Method,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> (u16, Value) {
        match fetch(
            &self.runtime,
            address,
            method,
            path,
            headers,
            body.to_vec(),
            8 * SEC,
        )
        .await
        {
            Ok((status, _, bytes)) => (
                status,
                serde_json::from_slice(&bytes).unwrap_or(Value::Null),
            ),
            Err(error) => (0, json!(error.to_string())),
        }
    }

    /// Waits until the first core lists all nodes, bootstraps the tier, puts the first
    /// configuration and waits until all fronts serve. Each wait ends after 20 s at the latest.
    pub async fn bootstrap(&self) -> Result<Value, String> {
        let core = self.topology.nodes_with_role(Role::Core)[0].http;
        let started = self.runtime.now();
        let expected_nodes = self.topology.nodes.len();
        while self.runtime.now() < started + 20 * SEC {
            let listed_nodes = self
                .get_json(core, "/v1/status")
                .await
                .and_then(|status| status["nodes"].as_array().map(|nodes| nodes.len()))
                .unwrap_or(0);
            if listed_nodes == expected_nodes {
                break;
            }
            self.runtime.sleep(100 * MS).await;
        }
        let discovery_time = self.runtime.now() - started;
        let names = |role| {
            self.topology
                .nodes_with_role(role)
                .iter()
                .map(|node| node.name.clone())
                .collect::<Vec<_>>()
        };
        let members = json!({"cores": names(Role::Core), "stores": names(Role::Store)});
        let (status, answer) = self
            .send_request(
                core,
                http_types::Method::Post,
                "/v1/found",
                &[],
                members.to_string().as_bytes(),
            )
            .await;
        if status != 200 {
            return Err(format!(
                "bootstrap of the tier failed: status {status}, {answer}"
            ));
        }
        let put_started = self.runtime.now();
        let (status, answer) = self.put(0, 1, &self.topology.config).await;
        if status != 200 {
            return Err(format!(
                "put of the first configuration failed: status {status}, {answer}"
            ));
        }
        let put_time = self.runtime.now() - put_started;
        while self.runtime.now() < put_started + 20 * SEC {
            let mut serving_fronts = 0;
            for front in self.topology.nodes_with_role(Role::Front) {
                serving_fronts += self
                    .get_json(front.http, "/health")
                    .await
                    .is_some_and(|health| {
                        health["serving"] == json!(true)
                            && health["versions"]["list"].as_u64() > Some(0)
                    }) as usize;
            }
            if serving_fronts == self.topology.nodes_with_role(Role::Front).len() {
                break;
            }
            self.runtime.sleep(100 * MS).await;
        }
        Ok(
            json!({"all_known_ms": discovery_time / 1000, "put_ms": put_time / 1000, "config": answer}),
        )
    }

    /// Puts a configuration at the core with this index, on the condition that the version in force
    /// is `base`.
    pub async fn put(&self, core: usize, base: u64, text: &str) -> (u16, Value) {
        let address = self.topology.nodes_with_role(Role::Core)[core].http;
        self.send_request(
            address,
            http_types::Method::Put,
            "/v1/config",
            &[("if-match", format!("\"{base}\""))],
            text.as_bytes(),
        )
        .await
    }

    /// Sums of the numeric metrics of all nodes that answer, by metric name.
    pub async fn sum_counters(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        let mut add = |name: &str, value: &Value| {
            *sums.entry(name.to_string()).or_default() += value.as_u64().unwrap_or(0)
        };
        for node in &self.topology.nodes {
            let Some(metrics) = self.get_json(node.http, "/metrics").await else {
                continue;
            };
            metrics
                .as_object()
                .into_iter()
                .flatten()
                .for_each(|(name, value)| add(name, value));
            metrics["counts"]
                .as_object()
                .into_iter()
                .flatten()
                .for_each(|(name, value)| add(name, value));
        }
        sums
    }
}

/// Increases of the printed counters between two results of [`Fleet::sum_counters`]. A counter that
/// decreased, as when a node does not answer, counts as unchanged.
fn counter_increases(before: &BTreeMap<String, u64>, after: &BTreeMap<String, u64>) -> Value {
    let names = [
        "done",
        "lost",
        "warm",
        "partly",
        "cold",
        "moved_warm",
        "moved_partly",
        "moved_cold",
        "moved_short",
        "imports",
        "imports_failed",
        "pushes",
        "push_within",
        "push_across",
        "messages",
        "bytes_within",
        "bytes_across",
        "syncs",
    ];
    names
        .iter()
        .map(|name| {
            (
                name.to_string(),
                json!(
                    after.get(*name).unwrap_or(&0)
                        - before
                            .get(*name)
                            .unwrap_or(&0)
                            .min(after.get(*name).unwrap_or(&0))
                ),
            )
        })
        .collect::<serde_json::Map<_, _>>()
        .into()
}

/// Runs a local fleet with traffic for a demonstration, in four phases of equal length: without
/// faults, with a model server that is drained, with overload, and with a model server that is
/// killed. Prints figures after each.
pub async fn run_demonstration(
    runtime: Runtime,
    name: &str,
    dir: &Path,
    base: u16,
    seconds: u64,
    sessions: usize,
) -> Result<(), String> {
    let mut fleet = Fleet::prepare(&runtime, name, dir, base)?;
    println!(
        "{name}: {} processes in {}",
        fleet.topology.nodes.len() + fleet.topology.servers.len() + 1,
        dir.display()
    );
    fleet.start_all()?;
    println!("bootstrapped: {}", fleet.bootstrap().await?);
    let log = Arc::new(RequestLog::default());
    let phase_time = seconds.max(8) * SEC / 4;
    (0..sessions).for_each(|i| {
        runtime.spawn(caller::run_session(
            runtime.clone(),
            fleet.topology.clone(),
            log.clone(),
            i,
            100_000,
        ))
    });
    let mut counters = fleet.sum_counters().await;
    let model_server = |i: usize| {
        fleet
            .topology
            .servers
            .iter()
            .filter(|settings| settings.is_model)
            .nth(i)
            .map(|settings| settings.server.clone())
            .unwrap_or_default()
    };
    let (drained, killed) = (model_server(0), model_server(1));
    for phase in ["calm", "drain", "overload", "kill"] {
        match phase {
            "drain" => {
                let body = json!({"server": drained, "leaving": true}).to_string();
                fleet
                    .send_request(
                        fleet.topology.platform,
                        http_types::Method::Post,
                        "/lab/leaving",
                        &[],
                        body.as_bytes(),
                    )
                    .await;
            }
            // Adds four times as many sessions. The servers that hold the sessions' caches are then
            // full, and some turns cannot wait for theirs.
            "overload" => (0..4 * sessions).for_each(|i| {
                runtime.spawn(caller::run_session(
                    runtime.clone(),
                    fleet.topology.clone(),
                    log.clone(),
                    10_000 + i,
                    6,
                ))
            }),
            "kill" => fleet.kill(&killed),
            _ => {}
        }
        runtime.sleep(phase_time).await;
        let new_counters = fleet.sum_counters().await;
        println!("{phase}: {}", counter_increases(&counters, &new_counters));
        counters = new_counters;
    }
    log.stop.store(true, SeqCst);
    runtime.sleep(3 * SEC).await;
    println!(
        "callers: {}",
        caller::summarize(&log.records.lock().unwrap())
    );
    Ok(())
}
