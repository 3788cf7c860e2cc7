//! What the operator does: bootstrap, configurations, nodes.

use super::{TestCluster, address};
use crate::proof::evidence::{Ack, Departure};
use http_types::Method;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::buffered_http::fetch;
use yewcross_common::constants::{MS, RECORD_REPLICAS, SEC};
use yewcross_common::process_settings::{ProcessSettings, Role};

/// us that the operator waits for an answer.
const REQUEST_TIMEOUT: u64 = 8 * SEC;
/// Attempts at bootstrap, and us between two of them.
const BOOTSTRAP_ATTEMPTS: usize = 60;
const BOOTSTRAP_RETRY: u64 = 200 * MS;
/// Index of the first added node's address.
const FIRST_ADDED_NODE_ADDRESS: usize = 700;
/// us from an added node's start to its admission.
const ADMISSION_DELAY: u64 = 3 * SEC;
/// Seconds that an added node has for its replicas.
const REPLICATION_SECONDS: u64 = 30;

impl TestCluster {
    /// Sends the operator's request. Status 0 if there is no answer.
    async fn request(
        &self,
        node: &str,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> (u16, Value) {
        let Some(settings) = self.settings(node) else {
            return (0, Value::Null);
        };
        let fetched = fetch(
            &self.operator,
            settings.http,
            method,
            path,
            headers,
            body,
            REQUEST_TIMEOUT,
        );
        match fetched.await {
            Ok((status, _, body)) => (status, serde_json::from_slice(&body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    /// Posts to a node as the operator; status 0 if there is no answer.
    pub async fn post(&self, node: &str, path: &str) -> (u16, Value) {
        self.request(node, Method::Post, path, &[], vec![]).await
    }

    /// Gets from a node as the operator; status 0 if there is no answer.
    pub async fn get(&self, node: &str, path: &str) -> (u16, Value) {
        self.request(node, Method::Get, path, &[], vec![]).await
    }

    /// Bootstraps the cluster; returns whether that succeeded in time.
    pub async fn bootstrap(&self) -> bool {
        let members = json!({
            "cores": self.names(Role::Core),
            "stores": self.names(Role::Store),
        });
        let body = members.to_string().into_bytes();
        for _ in 0..BOOTSTRAP_ATTEMPTS {
            let (status, _) = self
                .request("core1", Method::Post, "/v1/found", &[], body.clone())
                .await;
            if status == 200 {
                return true;
            }
            self.operator.sleep(BOOTSTRAP_RETRY).await;
        }
        false
    }

    /// Puts the present configuration, made unique by a mark, through the named core.
    pub async fn put(&self, core: &str, base: u64, mark: &str) -> Ack {
        let mut config = self.config.lock().unwrap().clone();
        config["budgets"][format!("mark-{mark}")] = json!({"tokens": 0});
        let sent = self.sim.now();
        let headers = [("if-match", format!("\"{base}\""))];
        let body = config.to_string().into_bytes();
        let (status, answer) = self
            .request(core, Method::Put, "/v1/config", &headers, body)
            .await;
        let code = if status == 0 {
            0
        } else {
            answer["code"].as_u64().unwrap_or(0) as u16
        };
        let ack = Ack {
            sent,
            at: self.sim.now(),
            base,
            mark: mark.into(),
            code,
            version: answer["version"].as_u64().unwrap_or(0),
        };
        self.sim.append_log(&format!(
            "put {mark} over {base} by {core}: {code} {}",
            ack.version
        ));
        self.acks.lock().unwrap().push(ack.clone());
        ack
    }

    /// Version of the configuration as the first core that answers says; 0 if none does.
    pub async fn version(&self) -> u64 {
        for core in self.names(Role::Core) {
            let (status, answer) = self.get(&core, "/v1/config").await;
            if status == 200 {
                return answer["version"].as_u64().unwrap_or(0);
            }
        }
        0
    }

    /// Lets the server drain, and records that.
    pub fn drain_server(&self, server: &str) {
        let departure = Departure {
            at: self.sim.now(),
            server: server.into(),
        };
        self.sim.append_log(&format!("{server} begins to leave"));
        self.departures.lock().unwrap().push(departure);
        if let Some(server) = self.server(server) {
            server.set_draining(true);
        }
    }

    /// Starts a node that was not there before and, where it has a disk, admits it.
    pub(in crate::proof) async fn add_node(self: &Arc<Self>, role: Role) -> String {
        let model = self.topology.nodes_with_role(role)[0].clone();
        let host = FIRST_ADDED_NODE_ADDRESS + role as usize;
        let name = format!("{}-new", model.name);
        let settings = ProcessSettings {
            name: name.clone(),
            site: self.topology.sites[3].clone(),
            peer: address(host, 0),
            http: address(host, 1),
            ..model
        };
        self.sim
            .add_machine(&name, &settings.site, settings.peer.ip());
        self.changed_nodes
            .lock()
            .unwrap()
            .insert(name.clone(), settings);
        self.boot(&name);
        self.operator.sleep(ADMISSION_DELAY).await;
        if role != Role::Front {
            let path = format!("/v1/disks/{name}/admit");
            let (status, answer) = self.post("core1", &path).await;
            self.sim
                .append_log(&format!("admit {name}: {status} {answer}"));
            self.wait_fully_replicated(REPLICATION_SECONDS).await;
        }
        name
    }

    /// Adds a store if there are only as many as replicas: no store could be drained.
    pub(in crate::proof) async fn ensure_spare_store(self: &Arc<Self>) {
        if self.names(Role::Store).len() == RECORD_REPLICAS {
            self.add_node(Role::Store).await;
        }
    }
}
