//! Chains of turns that are large beside the memory of a front: they are read and written in pages, and
//! all that a front holds of them is counted.

use std::sync::Arc;
use yewcross_common::buffer_memory::BufferMemory;
use yewcross_common::constants::*;
use yewcross_common::turn_log::client::TurnLogClient;
use yewcross_common::turn_log::messages::encode;
use yewcross_common::turn_log::{
    OpenTurn, OpenTurnError, OpenedTurn, Turn, TurnLogOperation, TurnLogRequest, TurnLogService,
};
use yewcross_testkit::tier::{Tier, boot_and_wait, run_script};

/// Number of turns in a chain.
const TURNS: usize = 12;

/// Size of a turn's input in bytes: two of them exceed a page.
const INPUT_BYTES: usize = 300 << 10;

/// Size of all inputs of a chain in bytes.
const CHAIN_BYTES: usize = TURNS * INPUT_BYTES;

/// Memory that holds one chain, while a page is received, and not two.
const MEMORY_OF_ONE_CHAIN: usize = 2 * CHAIN_BYTES;

/// Tokens of a program; all of them are needed for one turn.
const BUDGET: u64 = 100;

/// Longest time in µs that a front waits for the stores.
const TIMEOUT: u64 = 2 * SEC;

fn turn_id(program: &str, number: usize) -> String {
    format!("{program}-{number}")
}

fn open_turn(program: &str, turn: &str, previous: &str, tokens: u64) -> OpenTurn {
    OpenTurn {
        turn: turn.into(),
        program: program.into(),
        prev: previous.into(),
        max_output_tokens: tokens,
        budget: Some(BUDGET),
    }
}

/// The turn with this number of a program; each has other bytes.
fn turn(program: &str, number: usize) -> Turn {
    let previous = match number {
        0 => String::new(),
        _ => turn_id(program, number - 1),
    };
    Turn {
        id: turn_id(program, number),
        prev: previous,
        input: vec![number as u8; INPUT_BYTES].into(),
        output: format!("answer {number}\n").into(),
        tokens: 20,
        retain_ms: 60_000,
        ..Turn::default()
    }
}

/// A front of a tier whose memory for chains is limited. It caches as good as nothing.
struct Front {
    tier: Arc<Tier>,
    memory: Arc<BufferMemory>,
    client: TurnLogClient,
}

impl Front {
    fn new(tier: &Arc<Tier>, name: &str, memory_bytes: usize) -> Front {
        let stub = tier.front(name).expect("the front runs");
        let mut settings = tier.settings.lock().unwrap()[name].clone();
        settings.bounds.memory_mb = 1;
        let memory = Arc::new(BufferMemory::with_limit(memory_bytes));
        let client = TurnLogClient::new(&stub.members, &stub.documents, &settings, &memory);
        Front {
            tier: tier.clone(),
            memory,
            client,
        }
    }

    fn deadline(&self) -> u64 {
        self.tier.operator.now() + TIMEOUT
    }

    /// Opens a turn that continues a chain of `turns` turns.
    async fn open_after(
        &self,
        program: &str,
        turns: usize,
        tokens: u64,
    ) -> Result<OpenedTurn, OpenTurnError> {
        let previous = turn_id(program, turns - 1);
        let turn = format!("{program}-after-{}", self.tier.operator.random());
        let open = open_turn(program, &turn, &previous, tokens);
        self.client.open(open, self.deadline()).await
    }

    /// Keeps the turn with this number.
    async fn keep(&self, program: &str, number: usize) {
        let turn = turn(program, number);
        let open = open_turn(program, &turn.id, &turn.prev, 1);
        let opened = self.client.open(open.clone(), self.deadline()).await;
        drop(opened.expect("the turn is opened"));
        let finished = self.client.finish(open, turn, 1, self.deadline()).await;
        finished.expect("the turn is kept");
    }

    async fn keep_chain(&self, program: &str) {
        for number in 0..TURNS {
            self.keep(program, number).await;
        }
    }
}

fn assert_is_chain(opened: &OpenedTurn, program: &str, turns: usize) {
    let expected: Vec<Turn> = (0..turns).map(|number| turn(program, number)).collect();
    let chain: Vec<Turn> = opened.chain.iter().map(|turn| (**turn).clone()).collect();
    assert!(chain == expected, "the chain of {program} is not whole");
}

/// Starts a tier whose stores keep a chain of each program, and runs a script in it.
fn with_chains<Script, Running>(seed: u64, programs: &'static [&str], script: Script)
where
    Script: FnOnce(Arc<Tier>) -> Running + Send + 'static,
    Running: Future<Output = ()> + Send + 'static,
{
    let tier = Tier::new(seed, [4, 4, 2], 1);
    run_script(&tier, |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.put_until_acknowledged(0, "5 a").await;
            let writer = Front::new(&tier, "front1", usize::MAX);
            for program in programs {
                writer.keep_chain(program).await;
            }
            script(tier).await;
        })
    });
}

/// Guards against fronts that went over their memory because a chain was received in one message, which
/// was copied several times and counted nowhere.
#[test]
fn a_chain_is_read_in_pages_and_counted() {
    with_chains(700, &["p"], |tier| async move {
        let front = Front::new(&tier, "front2", MEMORY_OF_ONE_CHAIN);
        let opened = front.open_after("p", TURNS, 1).await;
        let opened = opened.expect("there is memory for the chain");
        assert_is_chain(&opened, "p", TURNS);
        assert!(opened.memory.bytes() >= CHAIN_BYTES);
        assert_eq!(front.memory.reserved(), opened.memory.bytes());
        drop(opened);
        assert_eq!(front.memory.reserved(), 0);
    });
}

/// The most bytes of turns in one response of any store to a request for the chain's end, from a sender
/// of this frame version.
async fn largest_response(tier: &Arc<Tier>, operation: TurnLogOperation, version: u16) -> usize {
    let mut largest = 0;
    for name in ["store1", "store2", "store3", "store4"] {
        let operation = operation.clone();
        let response = tier
            .run_on(name, move |control| {
                Box::pin(async move {
                    let request = TurnLogRequest {
                        layout_version: control.documents.layout.load().0,
                        disk: control.storage.disk_id.clone(),
                        timeout_us: SEC,
                        operation,
                    };
                    control.turn_store.respond(encode(&request), version).await
                })
            })
            .await;
        largest = largest.max(response.map_or(0, |response| response.turn_bytes()));
    }
    largest
}

/// Guards against stores that made three copies of a whole chain for each front that asked for it; fronts
/// of an older version still get all of it.
#[test]
fn a_store_returns_a_page_of_a_chain_to_senders_that_expect_pages() {
    with_chains(701, &["p"], |tier| async move {
        let last = turn_id("p", TURNS - 1);
        let find = TurnLogOperation::FindHistory { id: last.clone() };
        let open = TurnLogOperation::OpenTurn {
            program: "p".into(),
            turn: "next".into(),
            max_output_tokens: 1,
            budget: None,
            parent: last,
            take_over: false,
        };
        let page = largest_response(&tier, find.clone(), WIRE_VERSION).await;
        assert!((INPUT_BYTES..=HISTORY_PAGE_BYTES).contains(&page), "{page}");
        let opened = largest_response(&tier, open.clone(), WIRE_VERSION).await;
        assert!(opened <= OPENED_HISTORY_BYTES, "{opened}");
        for operation in [find, open] {
            let whole = largest_response(&tier, operation, WIRE_VERSION_HISTORY_PAGES - 1);
            let whole = whole.await;
            assert!(whole >= CHAIN_BYTES, "{whole}");
        }
    });
}

/// Guards against a turn that runs without memory for its chain, and against two turns that wait for what
/// the other one holds.
#[test]
fn two_long_chains_take_turns_in_the_memory_of_one() {
    with_chains(702, &["p", "q"], |tier| async move {
        let front = Arc::new(Front::new(&tier, "front2", MEMORY_OF_ONE_CHAIN));
        let (sender, ended) = async_channel::unbounded();
        for program in ["p", "q"] {
            let (front, sender) = (front.clone(), sender.clone());
            tier.operator.clone().spawn(async move {
                let opened = front.open_after(program, TURNS, 1).await;
                let opened = opened.unwrap_or_else(|error| panic!("{program}: {error:?}"));
                assert_is_chain(&opened, program, TURNS);
                assert!(front.memory.reserved() <= front.memory.limit());
                front.tier.operator.sleep(100 * MS).await;
                drop(opened);
                let _ = sender.send(program).await;
            });
        }
        let mut programs = [ended.recv().await.unwrap(), ended.recv().await.unwrap()];
        programs.sort();
        assert_eq!(programs, ["p", "q"]);
        assert_eq!(front.memory.reserved(), 0);
    });
}

/// A turn that is refused for lack of memory has not run: its tokens are free again.
#[test]
fn a_chain_beyond_the_memory_is_refused_at_once_and_its_tokens_are_released() {
    with_chains(703, &["p"], |tier| async move {
        let free_tokens = BUDGET - TURNS as u64;
        let front = Front::new(&tier, "front2", CHAIN_BYTES);
        let asked_at = tier.operator.now();
        let refused = front.open_after("p", TURNS, free_tokens).await;
        assert_eq!(refused.err(), Some(OpenTurnError::OutOfMemory));
        assert!(tier.operator.now() < asked_at + CHAIN_MEMORY_TIMEOUT / 2);
        assert_eq!(front.memory.reserved(), 0);
        tier.operator.sleep(SEC).await;
        let other = Front::new(&tier, "front1", usize::MAX);
        let opened = other.open_after("p", TURNS, free_tokens).await;
        assert_is_chain(&opened.expect("the tokens are free"), "p", TURNS);
    });
}

/// Guards against turns that were sent to a disk together with the whole chain that it lacks, in one
/// message.
#[test]
fn a_disk_that_lacks_a_chain_gets_it_in_pages() {
    with_chains(704, &["p"], |tier| async move {
        let layout_version = tier
            .control_node("core1")
            .unwrap()
            .documents
            .layout
            .load()
            .0;
        let holds = |tier: &Arc<Tier>, name: &str, number: usize| {
            let node = tier.control_node(name).expect("the store runs");
            let index = node.turn_store.index.lock().unwrap();
            index.get(&turn_id("p", number)).is_some()
        };
        let stores = ["store1", "store2", "store3", "store4"];
        let is_holder = |name: &&&str| holds(&tier, name, TURNS - 1);
        let lost = *stores
            .iter()
            .find(is_holder)
            .expect("a store holds the chain");
        let lacking: Vec<&str> = stores
            .into_iter()
            .filter(|name| !holds(&tier, name, TURNS - 1))
            .collect();
        tier.kill(lost, true);
        tier.operator.sleep(200 * MS).await;
        let front = Front::new(&tier, "front2", MEMORY_OF_ONE_CHAIN);
        front.keep("p", TURNS).await;
        assert_eq!(front.memory.reserved(), 0);
        let unchanged = tier
            .control_node("core1")
            .unwrap()
            .documents
            .layout
            .load()
            .0;
        assert_eq!(
            unchanged, layout_version,
            "nothing else has copied the chain"
        );
        let copied = |name: &&&str| (0..=TURNS).all(|number| holds(&tier, name, number));
        assert!(lacking.iter().any(|name| copied(&name)), "{lacking:?}");
    });
}

/// A store that returns nothing of a chain has still made sure that it exists.
#[test]
fn an_unknown_turn_is_told_from_one_whose_chain_is_not_returned() {
    with_chains(705, &["p"], |tier| async move {
        let front = Front::new(&tier, "front2", MEMORY_OF_ONE_CHAIN);
        let open = open_turn("p", "next", "never", 1);
        let unknown = front.client.open(open, front.deadline()).await;
        assert_eq!(unknown.err(), Some(OpenTurnError::UnknownTurn));
        let opened = front
            .open_after("p", 3, 1)
            .await
            .expect("the chain is read");
        assert_is_chain(&opened, "p", 3);
    });
}
