//! Sockets of the operating system.

use std::net::TcpListener;
use yewcross_common::runtime::Runtime;
use yewcross_common::runtime::os::OsRuntime;

/// Connections that are tried: another program's connection may have the same local port.
const ATTEMPTS: usize = 5;

/// Whether a listener can be bound to the local port of a connection while it is open, after this
/// end has closed it, and after both have.
async fn can_bind_local_port(runtime: &Runtime) -> [bool; 3] {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = runtime.connect(server.local_addr().unwrap()).await.unwrap();
    let (accepted, local_address) = server.accept().unwrap();
    let can_bind = async || runtime.bind(local_address).await.is_ok();
    let while_open = can_bind().await;
    drop(connection);
    let half_closed = can_bind().await;
    drop(accepted);
    [while_open, half_closed, can_bind().await]
}

#[test]
fn an_outgoing_connection_does_not_block_a_listener_on_its_port() {
    let runtime = OsRuntime::start(".", 1);
    smol::block_on(async {
        let mut outcomes = vec![];
        for _ in 0..ATTEMPTS {
            outcomes.push(can_bind_local_port(&runtime).await);
        }
        assert!(outcomes.contains(&[true; 3]), "{outcomes:?}");
    });
}
