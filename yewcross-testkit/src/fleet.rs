//! A whole fleet on this machine: real processes, real sockets, real files.

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

pub struct Fleet {
    pub runtime: Runtime,
    pub topology: Arc<Topology>,
    dir: PathBuf,
    bin: PathBuf,
    kids: BTreeMap<String, Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kids.values_mut().for_each(|k| {
            let _ = k.kill();
            let _ = k.wait();
        });
    }
}

impl Fleet {
    pub fn prepare(runtime: &Runtime, name: &str, dir: &Path, base: u16) -> Result<Fleet, String> {
        let at = |base: u16| {
            topology(name, &move |n: usize, k: u16| {
                SocketAddr::from(([127, 0, 0, 1], base + 2 * n as u16 + k))
            })
        };
        let free = |sh: &Topology| {
            let all = sh
                .nodes
                .iter()
                .flat_map(|n| [n.peer, n.http])
                .chain(sh.servers.iter().map(|b| b.addr))
                .chain([sh.platform]);
            all.map(std::net::TcpListener::bind)
                .collect::<Result<Vec<_>, _>>()
                .is_ok()
        };
        // Base 0: the first run of ports that nobody holds, beginning at a place of this process's
        // own.
        let first = (std::process::id() % 60) as u16;
        let bases: Vec<u16> = if base > 0 {
            vec![base]
        } else {
            (0..60).map(|i| 20_000 + 500 * ((first + i) % 60)).collect()
        };
        let mut sh = None;
        for b in bases {
            let s = at(b).ok_or(format!(
                "no shape {name}; there are kowhai, consorcio, small"
            ))?;
            if base > 0 || free(&s) {
                sh = Some(s);
                break;
            }
        }
        let mut sh = sh.ok_or("no run of free ports was found")?;
        sh.nodes
            .iter_mut()
            .filter(|n| n.role != Role::Front)
            .for_each(|n| n.data = dir.join(&n.name).display().to_string());
        let me = std::env::current_exe().map_err(|e| e.to_string())?;
        let bin = me.parent().map(|p| p.to_path_buf()).unwrap_or_default();
        let bin = if bin.ends_with("deps") {
            bin.parent().map(|p| p.to_path_buf()).unwrap_or_default()
        } else {
            bin
        };
        for b in ["yewcross-front", "yewcross-control", "yewcross-lab"] {
            if !bin.join(b).exists() {
                return Err(format!(
                    "{} is not built; run cargo build",
                    bin.join(b).display()
                ));
            }
        }
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        Ok(Fleet {
            runtime: runtime.clone(),
            topology: Arc::new(sh),
            dir: dir.into(),
            bin,
            kids: BTreeMap::new(),
        })
    }

    fn spawn(&mut self, name: &str, prog: &str, args: &[String]) -> Result<(), String> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let err = log.try_clone().map_err(|e| e.to_string())?;
        let k = Command::new(self.bin.join(prog))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(err)
            .spawn()
            .map_err(|e| format!("{prog}: {e}"))?;
        self.kids.insert(name.into(), k);
        Ok(())
    }

    pub fn start_stub_server(&mut self, s: &StubServerSettings) -> Result<(), String> {
        let f = self.dir.join(format!("{}.json", s.server));
        std::fs::write(&f, serde_json::to_vec(s).unwrap_or_default()).map_err(|e| e.to_string())?;
        self.spawn(
            &s.server.clone(),
            "yewcross-lab",
            &["standin".into(), "--spec".into(), f.display().to_string()],
        )
    }

    pub fn start_node(&mut self, n: &ProcessSettings) -> Result<(), String> {
        let f = self.dir.join(format!("{}.toml", n.name));
        std::fs::write(&f, toml::to_string(n).map_err(|e| e.to_string())?)
            .map_err(|e| e.to_string())?;
        let prog = if n.role == Role::Front {
            "yewcross-front"
        } else {
            "yewcross-control"
        };
        self.spawn(
            &n.name.clone(),
            prog,
            &["--startup".into(), f.display().to_string()],
        )
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        let sh = self.topology.clone();
        let p = self.dir.join("list.json");
        std::fs::write(
            &p,
            serde_json::to_vec(&sh.server_list()).unwrap_or_default(),
        )
        .map_err(|e| e.to_string())?;
        let args = [
            "platform".into(),
            "--at".into(),
            sh.platform.to_string(),
            "--list".into(),
            p.display().to_string(),
        ];
        self.spawn("platform", "yewcross-lab", &args)?;
        sh.servers
            .iter()
            .try_for_each(|b| self.start_stub_server(b))?;
        sh.nodes.iter().try_for_each(|n| self.start_node(n))
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        self.kids.get(name).map(|k| k.id())
    }

    /// Ends one process at once, as a crash would.
    pub fn kill(&mut self, name: &str) {
        self.kids.remove(name).into_iter().for_each(|mut k| {
            let _ = k.kill();
            let _ = k.wait();
        });
    }

    pub fn signal(&self, name: &str, sig: &str) {
        self.pid(name).into_iter().for_each(|p| {
            let _ = Command::new("kill").args([sig, &p.to_string()]).status();
        });
    }

    pub fn wait_exit(&mut self, name: &str) -> Option<i32> {
        self.kids
            .remove(name)
            .and_then(|mut k| k.wait().ok())
            .and_then(|s| s.code())
    }

    pub async fn get_json(&self, to: SocketAddr, path: &str) -> Option<Value> {
        let r = fetch(
            &self.runtime,
            to,
            http_types::Method::Get,
            path,
            &[],
            vec![],
            SEC,
        )
        .await
        .ok()?;
        serde_json::from_slice(&r.2).ok()
    }

    pub async fn send_request(
        &self,
        to: SocketAddr,
        verb: http_types::Method,
        path: &str,
        heads: &[(&str, String)],
        v: &[u8],
    ) -> (u16, Value) {
        match fetch(&self.runtime, to, verb, path, heads, v.to_vec(), 8 * SEC).await {
            Ok((s, _, b)) => (s, serde_json::from_slice(&b).unwrap_or(Value::Null)),
            Err(e) => (0, json!(e.to_string())),
        }
    }

    /// Waits until all know each other, founds the tier, puts the configuration.
    pub async fn bootstrap(&self) -> Result<Value, String> {
        let core = self.topology.nodes_with_role(Role::Core)[0].http;
        let t0 = self.runtime.now();
        let want = self.topology.nodes.len();
        while self.runtime.now() < t0 + 20 * SEC {
            let n = self
                .get_json(core, "/v1/status")
                .await
                .and_then(|v| v["nodes"].as_array().map(|a| a.len()))
                .unwrap_or(0);
            if n == want {
                break;
            }
            self.runtime.sleep(100 * MS).await;
        }
        let known = self.runtime.now() - t0;
        let names = |r| {
            self.topology
                .nodes_with_role(r)
                .iter()
                .map(|n| n.name.clone())
                .collect::<Vec<_>>()
        };
        let v = json!({"cores": names(Role::Core), "stores": names(Role::Store)});
        let (s, r) = self
            .send_request(
                core,
                http_types::Method::Post,
                "/v1/found",
                &[],
                v.to_string().as_bytes(),
            )
            .await;
        if s != 200 {
            return Err(format!("found: {s} {r}"));
        }
        let t1 = self.runtime.now();
        let (s, r) = self.put(0, 1, &self.topology.config).await;
        if s != 200 {
            return Err(format!("config: {s} {r}"));
        }
        let put = self.runtime.now() - t1;
        while self.runtime.now() < t1 + 20 * SEC {
            let mut ok = 0;
            for f in self.topology.nodes_with_role(Role::Front) {
                ok += self.get_json(f.http, "/health").await.is_some_and(|v| {
                    v["serving"] == json!(true) && v["versions"]["list"].as_u64() > Some(0)
                }) as usize;
            }
            if ok == self.topology.nodes_with_role(Role::Front).len() {
                break;
            }
            self.runtime.sleep(100 * MS).await;
        }
        Ok(json!({"all_known_ms": known / 1000, "put_ms": put / 1000, "config": r}))
    }

    pub async fn put(&self, core: usize, base: u64, text: &str) -> (u16, Value) {
        let to = self.topology.nodes_with_role(Role::Core)[core].http;
        self.send_request(
            to,
            http_types::Method::Put,
            "/v1/config",
            &[("if-match", format!("\"{base}\""))],
            text.as_bytes(),
        )
        .await
    }

    pub async fn sum_counters(&self) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        let mut add =
            |k: &str, v: &Value| *sum.entry(k.to_string()).or_default() += v.as_u64().unwrap_or(0);
        for n in &self.topology.nodes {
            let Some(v) = self.get_json(n.http, "/metrics").await else {
                continue;
            };
            v.as_object()
                .into_iter()
                .flatten()
                .for_each(|(k, x)| add(k, x));
            v["counts"]
                .as_object()
                .into_iter()
                .flatten()
                .for_each(|(k, x)| add(k, x));
        }
        sum
    }
}

fn gain(a: &BTreeMap<String, u64>, b: &BTreeMap<String, u64>) -> Value {
    let keys = [
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
    keys.iter()
        .map(|k| {
            (
                k.to_string(),
                json!(
                    b.get(*k).unwrap_or(&0) - a.get(*k).unwrap_or(&0).min(b.get(*k).unwrap_or(&0))
                ),
            )
        })
        .collect::<serde_json::Map<_, _>>()
        .into()
}

/// The newcomer's tour: a fleet comes up, serves, loses a server to a drain, to load, and to a
/// kill.
pub async fn up(
    runtime: Runtime,
    name: &str,
    dir: &Path,
    base: u16,
    seconds: u64,
    sessions: usize,
) -> Result<(), String> {
    let mut f = Fleet::prepare(&runtime, name, dir, base)?;
    println!(
        "{name}: {} processes in {}",
        f.topology.nodes.len() + f.topology.servers.len() + 1,
        dir.display()
    );
    f.start_all()?;
    println!("founded: {}", f.bootstrap().await?);
    let d = Arc::new(RequestLog::default());
    let part = seconds.max(8) * SEC / 4;
    (0..sessions).for_each(|i| {
        runtime.spawn(caller::run_session(
            runtime.clone(),
            f.topology.clone(),
            d.clone(),
            i,
            100_000,
        ))
    });
    let mut c0 = f.sum_counters().await;
    let model = |i: usize| {
        f.topology
            .servers
            .iter()
            .filter(|b| b.is_model)
            .nth(i)
            .map(|b| b.server.clone())
            .unwrap_or_default()
    };
    let (drained, killed) = (model(0), model(1));
    for phase in ["calm", "drain", "overload", "kill"] {
        match phase {
            "drain" => {
                let v = json!({"server": drained, "leaving": true}).to_string();
                f.send_request(
                    f.topology.platform,
                    http_types::Method::Post,
                    "/lab/leaving",
                    &[],
                    v.as_bytes(),
                )
                .await;
            }
            // Four times the sessions: homes are full, and some turns cannot wait for theirs.
            "overload" => (0..4 * sessions).for_each(|i| {
                runtime.spawn(caller::run_session(
                    runtime.clone(),
                    f.topology.clone(),
                    d.clone(),
                    10_000 + i,
                    6,
                ))
            }),
            "kill" => f.kill(&killed),
            _ => {}
        }
        runtime.sleep(part).await;
        let c1 = f.sum_counters().await;
        println!("{phase}: {}", gain(&c0, &c1));
        c0 = c1;
    }
    d.stop.store(true, SeqCst);
    runtime.sleep(3 * SEC).await;
    println!("callers: {}", caller::summarize(&d.records.lock().unwrap()));
    Ok(())
}
