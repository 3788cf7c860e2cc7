//! Sockets of the operating system.

use std::net::TcpListener;
use yewcross_common::runtime::os::OsRuntime;

#[test]
fn an_outgoing_connection_does_not_block_a_listener_on_its_port() {
    let runtime = OsRuntime::start(".", 1);
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    smol::block_on(async {
        let connection = runtime.connect(server.local_addr().unwrap()).await.unwrap();
        let (accepted, local_address) = server.accept().unwrap();
        let bind = async || runtime.bind(local_address).await.map(drop);
        assert!(bind().await.is_ok(), "while the connection is open");
        drop(connection);
        assert!(bind().await.is_ok(), "after this end has closed it");
        drop(accepted);
        assert!(bind().await.is_ok(), "after both ends have closed it");
    });
}
