//! Runs an async test against a bootstrapped cluster.

use super::cluster::TestCluster;
use serde_json::Value;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::{MS, SEC};
use yewcross_common::runtime::BoxFuture;

/// us from the nodes' start to bootstrap.
pub(super) const BOOT_TIME: u64 = 1500 * MS;
/// us from the first configuration until every node serves.
pub(super) const SETTLING_TIME: u64 = 4 * SEC;
/// us of simulated time after which a test is given up.
const TEST_TIMEOUT: u64 = 900 * SEC;

/// Runs the test against the topology `small`; see [`with_cluster_of`].
pub fn with_cluster<T: Send + 'static>(
    seed: u64,
    edit: impl FnOnce(&mut Value),
    test: impl FnOnce(Arc<TestCluster>) -> BoxFuture<'static, T>,
) -> T {
    with_cluster_of("small", seed, edit, test)
}

/// Bootstraps a cluster with the configuration that `edit` makes of the usual one, and runs the
/// test in virtual time.
///
/// # Panics
/// If the test does not end.
pub fn with_cluster_of<T: Send + 'static>(
    topology: &str,
    seed: u64,
    edit: impl FnOnce(&mut Value),
    test: impl FnOnce(Arc<TestCluster>) -> BoxFuture<'static, T>,
) -> T {
    let cluster = TestCluster::new(seed, topology);
    edit(&mut cluster.config.lock().unwrap());
    cluster.boot_all();
    let outcome: Arc<Mutex<Option<T>>> = Default::default();
    let test = test(cluster.clone());
    cluster.operator.spawn({
        let cluster = cluster.clone();
        let outcome = outcome.clone();
        async move {
            cluster.operator.sleep(BOOT_TIME).await;
            cluster.bootstrap().await;
            cluster.put("core1", 1, "first").await;
            cluster.operator.sleep(SETTLING_TIME).await;
            let value = test.await;
            *outcome.lock().unwrap() = Some(value);
        }
    });
    cluster
        .sim
        .run(TEST_TIMEOUT, || outcome.lock().unwrap().is_some());
    let value = outcome.lock().unwrap().take();
    value.unwrap_or_else(|| panic!("the script did not end"))
}
