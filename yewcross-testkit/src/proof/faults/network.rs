//! Faults of the network: partitions, one-way cuts, loss, delay, addresses taken over.

use crate::proof::lab::{Lab, addr};
use crate::proof::scenario::Act;
use crate::sim::NetworkConditions;
use crate::standin::Spec;
use std::sync::Arc;
use yewcross_common::constants::MS;
use yewcross_common::process_settings::Role;

impl Lab {
    /// The cores are split in two halves, or one from the rest, while an operator puts.
    pub(super) async fn split_cores(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let name: &str = act.into();
        let v = self.ids(Role::Core);
        let k = if act == Act::CoreSplitEven {
            v.len() / 2
        } else {
            1
        };
        s.partition(&v[..k], &v[k..]);
        self.hard(name);
        let me = self.clone();
        let base = self.version().await;
        let core = self.any(Role::Core);
        self.op.spawn(async move {
            me.put(&core, base, &format!("split{}", me.sim.now())).await;
        });
        self.nap(6).await;
        s.heal();
    }

    /// No front reaches a core.
    pub(super) async fn cut_cores_from_fronts(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let name: &str = act.into();
        s.partition(&self.ids(Role::Core), &self.ids(Role::Front));
        self.hard(name);
        self.nap(6).await;
        s.heal();
    }

    /// One zone is cut off.
    pub(super) async fn cut_zone(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let name: &str = act.into();
        let z = self.sh.sites[1 + s.rand() as usize % 3].clone();
        let all = || {
            self.sh
                .nodes
                .iter()
                .map(|n| (n.name.clone(), n.site.clone()))
                .chain(
                    self.sh
                        .backs
                        .iter()
                        .map(|b| (b.server.clone(), b.site.clone())),
                )
        };
        let (x, y): (Vec<_>, Vec<_>) = all().partition(|n| n.1 == z);
        let ids = |v: Vec<(String, String)>| v.iter().map(|n| s.find(&n.0)).collect::<Vec<_>>();
        s.partition(&ids(x), &ids(y));
        self.hard(name);
        self.nap(6).await;
        s.heal();
    }

    /// Four drawn pairs of nodes lose one direction.
    pub(super) async fn cut_one_way(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let name: &str = act.into();
        let v: Vec<usize> = self.sh.nodes.iter().map(|n| s.find(&n.name)).collect();
        for _ in 0..4 {
            let (x, y) = (
                v[s.rand() as usize % v.len()],
                v[s.rand() as usize % v.len()],
            );
            s.block(x, y);
        }
        self.hard(name);
        self.nap(5).await;
        s.heal();
    }

    /// Messages are lost, doubled and late.
    pub(super) async fn lossy_network(self: &Arc<Self>) {
        let s = self.sim.clone();
        s.set_network_conditions(NetworkConditions {
            drop_per_mille: 20,
            duplicate_per_mille: 30,
            delay_per_mille: 40,
            max_jitter: 3 * MS,
        });
        self.nap(8).await;
        s.set_network_conditions(NetworkConditions::default());
    }

    /// Every message takes up to 40 ms longer.
    pub(super) async fn slow_links(self: &Arc<Self>) {
        let s = self.sim.clone();
        s.set_network_conditions(NetworkConditions {
            max_jitter: 40 * MS,
            ..Default::default()
        });
        self.nap(8).await;
        s.set_network_conditions(NetworkConditions::default());
    }

    /// A core loses its disk while another core is cut off.
    pub(super) async fn wipe_core_in_split(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let name: &str = act.into();
        let v = self.names(Role::Core);
        let k = s.rand() as usize % v.len();
        let (n, far) = (v[k].clone(), v[(k + 1) % v.len()].clone());
        let rest: Vec<usize> = v.iter().filter(|x| **x != far).map(|x| s.find(x)).collect();
        s.partition(&[s.find(&far)], &rest);
        self.hard(&n);
        self.restart(n, true, true, 2).await;
        self.nap(5).await;
        s.heal();
        self.hard(name);
    }

    /// A core or store comes back at another address; something else takes the old one.
    pub(super) async fn move_to_other_address(self: &Arc<Self>, act: Act) {
        let s = self.sim.clone();
        let n = self.any(if act == Act::CoreElsewhere {
            Role::Core
        } else {
            Role::Store
        });
        let Some(mut st) = self.startup(&n) else {
            return;
        };
        s.kill(s.find(&n), true);
        self.hard(&n);
        // A lookup service takes the old address and answers HTTP where frames were spoken.
        let old = s.machine("x-squatter", &st.site, st.peer.ip());
        let squat = Spec {
            server: "x9".into(),
            service: "squat".into(),
            addr: st.peer,
            model: false,
            ..self.sh.backs[0].clone()
        };
        self.boot_back(s.boot(old), squat);
        self.nap(2).await;
        let i = 800 + s.rand() as usize % 90;
        (st.peer, st.http) = (addr(i, 0), addr(i, 1));
        s.machine(&n, &st.site, st.peer.ip());
        self.elsewhere.lock().unwrap().insert(n.clone(), st);
        self.boot(&n);
        self.nap(6).await;
        s.kill(old, true);
    }
}
