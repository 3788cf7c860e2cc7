//! What operators do while faults are under way: configurations, disks, machines.

use super::Crash;
use crate::proof::cluster::{TestCluster, address};
use crate::proof::evidence::{Account, Ack, Cap, Withdrawal};
use crate::stub_server::StubServerSettings;
use serde_json::{Value, json};
use std::sync::Arc;
use yewcross_common::constants::{MS, SEC};
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ListedServer;
use yewcross_common::runtime::BoxFuture;

/// Times that a put races another, or is broken off.
const REPEATED_PUTS: usize = 3;
/// Seconds that a drained store has to be safe to remove.
const DRAIN_SECONDS: usize = 40;
/// Index of an added server's address.
const ADDED_SERVER_ADDRESS: usize = 703;
/// Code of a put that was acknowledged.
const ACKNOWLEDGED: u16 = 1000;

/// A change to a whole configuration, and what it withdraws.
struct WithdrawalEdit {
    subject: String,
    apply: Box<dyn Fn(&mut Value) + Send>,
}

/// A change of all budgets by a factor.
#[derive(Clone, Copy)]
struct BudgetChange {
    numerator: u64,
    denominator: u64,
}

impl BudgetChange {
    fn is_raise(self) -> bool {
        self.numerator > self.denominator
    }

    /// The account's first figure, changed.
    fn of(self, account: &Account) -> u64 {
        account.caps[0].tokens * self.numerator / self.denominator
    }

    /// When the new figure counts: a raise may from when it was sent, a lowering only from when it
    /// was acknowledged.
    fn effective_from(self, ack: &Ack) -> Option<u64> {
        if self.is_raise() {
            Some(ack.sent)
        } else {
            Some(ack.at).filter(|_| ack.code == ACKNOWLEDGED)
        }
    }
}

impl TestCluster {
    /// Two operators put different configurations over the same version, three times.
    pub(super) async fn race_puts(self: &Arc<Self>) {
        for time in 0..REPEATED_PUTS {
            let base = self.version().await;
            let cores = [self.any(Role::Core), self.any(Role::Core)];
            let now = self.sim.now();
            let marks = [format!("a{time}-{now}"), format!("b{time}-{now}")];
            let puts = cores
                .into_iter()
                .zip(marks)
                .map(|(core, mark)| -> BoxFuture<'static, ()> {
                    let cluster = self.clone();
                    Box::pin(async move {
                        cluster.put(&core, base, &mark).await;
                    })
                })
                .collect();
            let done = self.operator.spawn_all(puts);
            // An error says that a put's task is gone: there is nothing to wait for.
            let _ = done.recv().await;
            let _ = done.recv().await;
        }
    }

    /// A core is killed in the middle of a put, three times.
    pub(super) async fn kill_core_in_put(self: &Arc<Self>) {
        for time in 0..REPEATED_PUTS {
            let base = self.version().await;
            let core = self.any(Role::Core);
            let mark = format!("k{time}-{}", self.sim.now());
            self.operator.spawn({
                let (cluster, core) = (self.clone(), core.clone());
                async move {
                    cluster.put(&core, base, &mark).await;
                }
            });
            let pause = self.sim.rand() % (30 * MS);
            self.operator.sleep(pause).await;
            let crash = Crash::draw(self);
            self.restart(&core, crash, 2).await;
            self.sleep_seconds(4).await;
        }
    }

    /// An operator drains a store's disk and removes the machine once that is safe.
    pub(super) async fn drain_store(self: &Arc<Self>) {
        self.ensure_spare_store().await;
        let store = self.any(Role::Store);
        let core = self.any(Role::Core);
        self.begin_drain(&core, &store).await;
        self.remove_once_safe(&core, &store).await;
    }

    /// A store's disk is drained while another store dies.
    pub(super) async fn drain_store_while_other_dies(self: &Arc<Self>) {
        self.ensure_spare_store().await;
        let stores = self.names(Role::Store);
        let index = self.sim.rand() as usize % stores.len();
        let store = &stores[index];
        let other = &stores[(index + 1) % stores.len()];
        self.begin_drain("core1", store).await;
        let pause = self.sim.rand() % (2 * SEC);
        self.operator.sleep(pause).await;
        let crash = Crash::draw(self);
        self.restart(other, crash, 3).await;
        self.remove_once_safe("core1", store).await;
    }

    async fn begin_drain(&self, core: &str, store: &str) {
        let path = format!("/v1/disks/{store}/empty");
        let (status, answer) = self.post(core, &path).await;
        self.sim
            .append_log(&format!("empty {store}: {status} {answer}"));
    }

    async fn remove_once_safe(&self, core: &str, store: &str) {
        for _ in 0..DRAIN_SECONDS {
            self.sleep_seconds(1).await;
            let (_, answer) = self.get(core, &format!("/v1/disks/{store}")).await;
            if answer["safe_to_remove"] == json!(true) {
                self.sim.append_log(&format!("{store} is safe to remove"));
                self.sim.kill(self.sim.find(store), true);
                return;
            }
        }
    }

    /// A configuration withdraws a server, a method and a service, each for a while.
    pub(super) async fn withdraw(self: &Arc<Self>) {
        let lookups = &self.topology.workload.lookups[0];
        let edits = [
            self.withdraw_server(),
            withdraw_method(&lookups.service, &lookups.method),
            withdraw_service(&lookups.service),
        ];
        let original = self.config.lock().unwrap().clone();
        for (index, edit) in edits.into_iter().enumerate() {
            (edit.apply)(&mut self.config.lock().unwrap());
            let base = self.version().await;
            let mark = format!("cut{index}-{}", self.sim.now());
            let ack = self.put("core1", base, &mark).await;
            self.sleep_seconds(4).await;
            *self.config.lock().unwrap() = original.clone();
            let until = self.sim.now();
            let base = self.version().await;
            let mark = format!("uncut{index}-{}", self.sim.now());
            self.put("core2", base, &mark).await;
            if ack.code == ACKNOWLEDGED {
                self.withdrawals.lock().unwrap().push(Withdrawal {
                    from: ack.at,
                    until,
                    subject: edit.subject,
                });
            }
            self.sleep_seconds(1).await;
        }
    }

    fn withdraw_server(&self) -> WithdrawalEdit {
        let withdrawn = self.any_server(true);
        let servers = self.topology.servers.iter();
        let allowed: Vec<String> = servers
            .filter(|server| server.is_model && server.server != withdrawn)
            .map(|server| server.server.clone())
            .collect();
        WithdrawalEdit {
            subject: withdrawn,
            apply: Box::new(move |config| config["services"]["llm"]["allow"] = json!(allowed)),
        }
    }

    /// A front, a store, a core and a model server are added.
    pub(super) async fn add_machines(self: &Arc<Self>) {
        let front = self.add_node(Role::Front).await;
        if let Some(fronts) = self.config.lock().unwrap()["fronts"].as_array_mut() {
            fronts.push(json!(front));
        }
        let base = self.version().await;
        let mark = format!("front{}", self.sim.now());
        self.put("core1", base, &mark).await;
        self.add_node(Role::Store).await;
        self.add_node(Role::Core).await;
        self.add_model_server();
        self.sleep_seconds(4).await;
    }

    fn add_model_server(self: &Arc<Self>) {
        let settings = StubServerSettings {
            server: "m70".into(),
            addr: address(ADDED_SERVER_ADDRESS, 0),
            ..self.topology.servers[0].clone()
        };
        let machine = self
            .sim
            .add_machine(&settings.server, &settings.site, settings.addr.ip());
        self.boot_server(self.sim.boot(machine), settings.clone());
        let listed = ListedServer {
            server: settings.server,
            service: settings.service,
            addr: settings.addr,
            site: settings.site,
            leaving: false,
        };
        self.edit_server_list(|servers| servers.push(listed));
    }

    /// Budgets are raised by half, then lowered to a third, each time by a whole configuration.
    pub(super) async fn change_budgets(self: &Arc<Self>) {
        let raise = BudgetChange {
            numerator: 3,
            denominator: 2,
        };
        let lowering = BudgetChange {
            numerator: 1,
            denominator: 3,
        };
        for (index, change) in [raise, lowering].into_iter().enumerate() {
            let accounts = self.accounts.lock().unwrap().clone();
            let base = self.version().await;
            for (budget, account) in &accounts {
                let mut config = self.config.lock().unwrap();
                config["budgets"][budget]["tokens"] = json!(change.of(account));
            }
            let core = self.any(Role::Core);
            let mark = format!("purse{index}-{}", self.sim.now());
            let ack = self.put(&core, base, &mark).await;
            if let Some(from) = change.effective_from(&ack) {
                for account in self.accounts.lock().unwrap().values_mut() {
                    let tokens = change.of(account);
                    account.caps.push(Cap { from, tokens });
                }
            }
            self.sleep_seconds(4).await;
        }
    }
}

fn withdraw_method(service: &str, method: &str) -> WithdrawalEdit {
    let (edited, withdrawn) = (service.to_string(), json!(method));
    WithdrawalEdit {
        subject: format!("{service}/{method}"),
        apply: Box::new(move |config| {
            if let Some(methods) = config["services"][&edited]["methods"].as_array_mut() {
                methods.retain(|method| *method != withdrawn);
            }
        }),
    }
}

fn withdraw_service(service: &str) -> WithdrawalEdit {
    let withdrawn = service.to_string();
    WithdrawalEdit {
        subject: format!("{service}/"),
        apply: Box::new(move |config| {
            if let Some(services) = config["services"].as_object_mut() {
                services.remove(&withdrawn);
            }
        }),
    }
}
