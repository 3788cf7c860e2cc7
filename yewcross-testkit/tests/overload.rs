//! Which connections a process closes when it is short of room, in virtual time.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Response;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use yewcross_common::buffer_memory::{BufferMemory, Reservation};
use yewcross_common::buffered_http::{self, ConnectionTracker};
use yewcross_common::constants::*;
use yewcross_common::overload::*;
use yewcross_common::runtime::*;
use yewcross_testkit::sim::Sim;

const SERVER: &str = "10.0.0.2:80";

/// Memory for buffers in bytes, of which large buffers may use three quarters.
const MEMORY: usize = 1 << 20;

/// A machine with a listener, and one that connects to it.
struct Rig {
    sim: Sim,
    server: Runtime,
    client: Runtime,
    manager: Arc<OverloadManager>,
}

impl Rig {
    fn new(max_connections: usize) -> Rig {
        let sim = Sim::new(1, 1_000);
        let client = sim.add_machine("client", "z", "10.0.0.1".parse().unwrap());
        let server = sim.add_machine("server", "z", "10.0.0.2".parse().unwrap());
        let limits = OverloadLimits {
            max_connections,
            ..OverloadLimits::default()
        };
        let memory = Arc::new(BufferMemory::with_limit(MEMORY));
        Rig {
            client: sim.boot(client),
            server: sim.boot(server),
            manager: Arc::new(OverloadManager::with_limits(limits, memory)),
            sim,
        }
    }

    /// Runs a task on the server to its end.
    fn run<T: Send + 'static>(&self, task: impl Future<Output = T> + Send + 'static) -> T {
        let output: Arc<Mutex<Option<T>>> = Arc::default();
        let written = output.clone();
        self.server.spawn(async move {
            let value = task.await;
            *written.lock().unwrap() = Some(value);
        });
        self.sim
            .run(1_000 * SEC, || output.lock().unwrap().is_some());
        output.lock().unwrap().take().expect("the task ends")
    }

    /// Lets time pass; the simulation ends a run early if nothing is due.
    fn wait(&self, us: u64) {
        let server = self.server.clone();
        self.run(async move { server.sleep(us).await });
    }

    /// Connections whose server ends are open, in the order in which they were accepted.
    fn connections(&self, count: usize) -> Vec<Connection> {
        let address: SocketAddr = SERVER.parse().unwrap();
        let (server, client) = (self.server.clone(), self.client.clone());
        self.run(async move {
            let listener = server.bind(address).await.unwrap();
            let mut accepted = vec![];
            for _ in 0..count {
                let connecting = client.connect(address);
                let (client_end, server_end) =
                    futures_lite::future::zip(connecting, listener.accept()).await;
                // The client's end stays open for the test.
                std::mem::forget(client_end);
                accepted.push(server_end.unwrap());
            }
            accepted
        })
    }

    /// Admits a connection; closes evicted ones as a server does.
    fn admit(&self, connection: &Connection) -> Option<ConnectionPermit> {
        let (manager, server) = (self.manager.clone(), self.server.clone());
        let connection = connection.clone();
        self.run(async move { manager.admit(&server, &connection).await })
    }

    /// Gives the place of a connection back once it is evicted.
    fn serve(&self, permit: ConnectionPermit) -> Arc<CallerConnection> {
        let caller = permit.connection().clone();
        self.server.spawn(async move {
            let caller = permit.connection().clone();
            caller.evicted().await;
            drop(permit);
        });
        caller
    }
}

fn is_evicted(caller: &CallerConnection) -> bool {
    futures_lite::future::block_on(futures_lite::future::poll_once(caller.evicted())).is_some()
}

#[test]
fn the_connection_that_holds_most_for_longest_gives_way() {
    let rig = Rig::new(3);
    let connections = rig.connections(4);
    let callers: Vec<_> = connections[..3]
        .iter()
        .map(|connection| rig.serve(rig.admit(connection).unwrap()))
        .collect();
    let mut reservation = callers[1].reservation();
    assert!(reservation.try_grow(MEMORY / 2));
    callers.iter().for_each(|caller| caller.begin_receiving());
    rig.wait(SEC);
    assert!(rig.admit(&connections[3]).is_some());
    let evicted: Vec<bool> = callers.iter().map(|caller| is_evicted(caller)).collect();
    assert_eq!(evicted, [false, true, false]);
}

#[test]
fn a_connection_that_rests_gives_way_only_if_none_is_stalled() {
    let rig = Rig::new(2);
    let connections = rig.connections(4);
    let resting = rig.serve(rig.admit(&connections[0]).unwrap());
    resting.begin_receiving();
    resting.begin_idle();
    rig.wait(10 * SEC);
    let silent = rig.serve(rig.admit(&connections[1]).unwrap());
    let third = rig.serve(rig.admit(&connections[2]).unwrap());
    assert!(is_evicted(&silent) && !is_evicted(&resting));
    third.begin_working();
    assert!(rig.admit(&connections[3]).is_some());
    assert!(is_evicted(&resting) && !is_evicted(&third));
}

/// In a full house without a flood, a new connection does not wait for another new one to be late.
#[test]
fn a_full_house_that_rests_lets_a_new_connection_in_at_once() {
    const HOUSE: usize = 16;
    let rig = Rig::new(HOUSE);
    let connections = rig.connections(HOUSE + 1);
    let resting: Vec<_> = connections[..HOUSE - 1]
        .iter()
        .map(|connection| rig.serve(rig.admit(connection).unwrap()))
        .collect();
    resting.iter().for_each(|caller| {
        caller.begin_receiving();
        caller.begin_idle();
    });
    rig.wait(SEC);
    let new = rig.serve(rig.admit(&connections[HOUSE - 1]).unwrap());
    let before = rig.server.now();
    assert!(rig.admit(&connections[HOUSE]).is_some());
    assert!(rig.server.now() - before < STALL_TIME_MIN / 2);
    assert!(!is_evicted(&new));
    let evicted = resting.iter().filter(|caller| is_evicted(caller)).count();
    assert_eq!(evicted, 1);
}

#[test]
fn a_request_that_is_being_answered_never_gives_way() {
    let rig = Rig::new(1);
    let connections = rig.connections(2);
    let caller = rig.serve(rig.admit(&connections[0]).unwrap());
    caller.begin_receiving();
    caller.begin_working();
    rig.wait(100 * SEC);
    assert!(rig.admit(&connections[1]).is_none());
    rig.manager.close_stalled(rig.server.now());
    assert!(!is_evicted(&caller));
}

#[test]
fn a_caller_that_does_not_read_its_response_gives_way() {
    let rig = Rig::new(1);
    let connections = rig.connections(2);
    let caller = rig.serve(rig.admit(&connections[0]).unwrap());
    caller.begin_working();
    caller.record_unread();
    rig.wait(STALL_TIME_MIN);
    assert!(rig.admit(&connections[1]).is_some());
    assert!(is_evicted(&caller));
}

/// A body that is still within the time that a large one needs is not given up for another.
#[test]
fn buffers_give_way_only_after_the_time_that_a_large_body_needs() {
    let rig = Rig::new(2);
    let connections = rig.connections(2);
    let holder = rig.serve(rig.admit(&connections[0]).unwrap());
    let requester = rig.serve(rig.admit(&connections[1]).unwrap());
    holder.begin_receiving();
    let mut held = holder.reservation();
    assert!(held.try_grow(MEMORY / 2));
    let held = Arc::new(Mutex::new(Some(held)));
    let (releasing, released) = (holder.clone(), held.clone());
    rig.server.spawn(async move {
        releasing.evicted().await;
        released.lock().unwrap().take();
    });
    let grow = |requester: Arc<CallerConnection>| async move {
        let mut reservation: Reservation = requester.reservation();
        requester.grow(&mut reservation, MEMORY / 2).await
    };
    rig.wait(LARGE_HOLD_TIME_MIN / 2);
    assert!(!rig.run(grow(requester.clone())));
    assert!(!is_evicted(&holder));
    rig.wait(LARGE_HOLD_TIME_MIN);
    assert!(rig.run(grow(requester)));
    assert!(is_evicted(&holder));
}

/// The product's own port: a crowd whose bodies stop short of their end, and an ordinary caller.
#[test]
fn an_ordinary_caller_of_the_buffered_server_is_answered_beside_a_crowd() {
    const CROWD: usize = 40;
    let rig = Rig::new(CROWD / 2);
    let address: SocketAddr = SERVER.parse().unwrap();
    let tracker = Arc::new(ConnectionTracker::new(&rig.manager));
    let handler: buffered_http::Handler =
        Arc::new(|_| Box::pin(async { Response::new(http_types::StatusCode::Ok) }));
    let server = rig.server.clone();
    rig.server.spawn(async move {
        let listener = server.bind(address).await.unwrap();
        buffered_http::serve(server, listener, handler, tracker).await;
    });
    rig.wait(10 * MS);
    for _ in 0..CROWD {
        let client = rig.client.clone();
        rig.client.spawn(async move {
            let mut connection = client.connect(address).await.unwrap();
            let head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";
            connection.write_all(head.as_bytes()).await.unwrap();
            // Fails if the connection is closed for another one.
            let _ = connection.write_all(&[b'x'; 99_000]).await;
            std::future::pending::<()>().await;
        });
    }
    rig.wait(300 * MS);
    let client = rig.client.clone();
    let answer = rig.run(async move {
        let mut connection = client.connect(address).await.unwrap();
        let request = "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        connection.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        connection.read_to_string(&mut answer).await.unwrap();
        answer
    });
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(rig.manager.open_connections() <= CROWD / 2);
    assert!(rig.manager.memory.reserved() <= MEMORY);
}
