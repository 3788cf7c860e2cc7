//! Operators' calls under every kind of trouble are linearizable: orders as compare-and-set, reads,
//! and retiring.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::protocol::ConfigDoc;
use yewcross_common::register::ValueUpdate;
use yewcross_control::api::*;
use yewcross_testkit::history::*;
use yewcross_testkit::sim::{MachineCosts, NetworkConditions};
use yewcross_testkit::tier::*;

type Calls = Arc<Mutex<Vec<Operation<ConfigRegister>>>>;

/// How a run is set up.
#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    counts: [usize; 3],
    tolerance: usize,
    operators: usize,
    /// us that the operators go on for.
    length: u64,
    /// Orders are decided by this instead, to show that the check can fail.
    broken: Option<Broken>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    /// The base is not looked at.
    AnyBase,
    /// Superseded orders are not remembered.
    NoMemory,
    /// The order in force is known by its text, whatever base a call names.
    TextAlone,
    /// A read answers from what the node was last told.
    ReadOnHand,
}

#[derive(Default, Debug)]
struct Outcome {
    /// Told with a run.
    calls: usize,
    taken: usize,
    refused: usize,
    open: usize,
    slowest: u64,
}

/// One operator's call, at one core, with what it saw.
struct Caller {
    tier: Arc<Tier>,
    calls: Calls,
    broken: Option<Broken>,
}

/// An order as its operator sends it.
#[derive(Clone, Debug)]
struct Sent {
    base: u64,
    number: u64,
    text: String,
}

impl Caller {
    fn random_core(&self) -> String {
        let cores = self.tier.names_with_role(Role::Core);
        cores[self.tier.operator.random() as usize % cores.len()].clone()
    }

    fn record(&self, begin: u64, call: ConfigCall, answer: Option<ConfigAnswer>) {
        let at = self.tier.operator.now();
        self.calls.lock().unwrap().push(Operation {
            invoked_at: begin,
            call,
            completion: answer.map(|answer| Completion { at, answer }),
        });
    }

    async fn read(&self) -> Option<u64> {
        let begin = self.tier.operator.now();
        let core = self.random_core();
        let got = if self.broken == Some(Broken::ReadOnHand) {
            self.read_on_hand(&core)
        } else {
            self.tier.read_configuration(&core).await
        };
        match got {
            Some(ReadAnswer::Text(number, text)) => {
                self.record(
                    begin,
                    ConfigCall::Read,
                    Some(ConfigAnswer::Text {
                        number,
                        text: text.to_string(),
                    }),
                );
                Some(number)
            }
            Some(ReadAnswer::None) => {
                self.record(begin, ConfigCall::Read, Some(ConfigAnswer::NoConfiguration));
                Some(0)
            }
            // A read without an answer has no effect.
            Some(ReadAnswer::Unavailable) | None => None,
        }
    }

    fn read_on_hand(&self, core: &str) -> Option<ReadAnswer> {
        let document = ConfigDoc::decode(
            &self
                .tier
                .control_node(core)?
                .documents
                .document("config")
                .content,
        )
        .ok()?;
        Some(ReadAnswer::Text(document.number, document.text.into()))
    }

    /// Sends an order once. Where its answer is lost, the operator knows nothing.
    async fn send(&self, order: &Sent, answer_is_lost: bool) -> Option<ConfigAnswer> {
        let begin = self.tier.operator.now();
        let core = self.random_core();
        let got = match self.broken {
            Some(Broken::AnyBase | Broken::NoMemory | Broken::TextAlone) => {
                self.put_broken(&core, order).await
            }
            _ => {
                self.tier
                    .put_configuration(&core, order.base, &order.text)
                    .await
            }
        };
        let answer = got.and_then(|a| match a {
            PutAnswer::InForce(number) => Some(ConfigAnswer::Accepted { number }),
            PutAnswer::Conflict(current) => Some(ConfigAnswer::Conflict { current }),
            PutAnswer::Invalid(_) => Some(ConfigAnswer::Invalid),
            PutAnswer::NotBootstrapped
            | PutAnswer::NoMajority
            | PutAnswer::Busy
            | PutAnswer::Forgotten => Some(ConfigAnswer::NotExecuted),
            PutAnswer::Undecided => None,
        });
        let answer = answer.filter(|_| !answer_is_lost);
        let call = ConfigCall::Put {
            base: order.base,
            number: order.number,
            text: order.text.clone(),
        };
        self.record(begin, call, answer.clone());
        answer
    }

    /// An order decided as the product does not.
    async fn put_broken(&self, core: &str, order: &Sent) -> Option<PutAnswer> {
        let (order, broken) = (order.clone(), self.broken);
        self.tier
            .run_on(core, move |c| {
                Box::pin(async move {
                    let got = c
                        .registers
                        .change("config", SEC, |_, value| {
                            let document = ConfigDoc::decode(value).unwrap();
                            let base_fits =
                                document.number == order.base || broken == Some(Broken::AnyBase);
                            // The base is kept in the note; the product derives it from the order before.
                            let is_same_base = document.note == order.base.to_string()
                                || broken == Some(Broken::TextAlone);
                            if document.text == order.text && is_same_base {
                                ValueUpdate::Keep(PutAnswer::InForce(order.number))
                            } else if base_fits && order.number > document.number {
                                let next = ConfigDoc {
                                    text: order.text.clone(),
                                    note: order.base.to_string(),
                                    number: order.number,
                                    ..Default::default()
                                };
                                ValueUpdate::Write(
                                    next.encode().unwrap(),
                                    PutAnswer::InForce(order.number),
                                )
                            } else if base_fits {
                                ValueUpdate::Keep(PutAnswer::Invalid(vec![]))
                            } else {
                                ValueUpdate::Keep(PutAnswer::Conflict(document.number))
                            }
                        })
                        .await;
                    got.unwrap_or(PutAnswer::Undecided)
                })
            })
            .await
    }

    /// Orders one change after another, as an operator does, until the time is over.
    async fn operate(&self, who: usize, until: u64) {
        let op = &self.tier.operator;
        let mut taken: Vec<Sent> = vec![];
        let mut nth = 0;
        while op.now() < until {
            let Some(base) = self.read().await else {
                op.sleep(50 * MS).await;
                continue;
            };
            op.sleep(op.random() % (30 * MS)).await;
            nth += 1;
            let number = base + 1 + op.random() % 3;
            let order = Sent {
                base,
                number,
                text: format!("{number} by {who} {nth}"),
            };
            if self.send_until_clear(&order).await == Some(true) {
                taken.push(order);
            }
            if !taken.is_empty() && op.random().is_multiple_of(4) {
                let again = &taken[op.random() as usize % taken.len()];
                self.send(again, false).await;
            }
            if let Some(last) = taken.last().filter(|_| op.random().is_multiple_of(4)) {
                self.send_on_another_base(last).await;
            }
            op.sleep(op.random() % (120 * MS)).await;
        }
    }

    /// Sends the text of a taken order on top of itself, or of what is newest: another order, which
    /// is never taken.
    async fn send_on_another_base(&self, taken: &Sent) {
        let base = if self.tier.operator.random().is_multiple_of(2) {
            Some(taken.number)
        } else {
            self.read().await
        };
        if let Some(base) = base {
            let order = Sent {
                base,
                ..taken.clone()
            };
            self.send(&order, false).await;
        }
    }

    /// Sends an order as it is to one core after another until there is a clear answer; whether it
    /// was taken.
    async fn send_until_clear(&self, order: &Sent) -> Option<bool> {
        for _ in 0..12 {
            let answer_is_lost = self.tier.operator.random().is_multiple_of(6);
            match self.send(order, answer_is_lost).await {
                Some(ConfigAnswer::Accepted { .. }) => return Some(true),
                Some(ConfigAnswer::Conflict { .. } | ConfigAnswer::Invalid) => return Some(false),
                _ => {
                    self.tier
                        .operator
                        .sleep(60 * MS + self.tier.operator.random() % (60 * MS))
                        .await
                }
            }
        }
        None
    }
}

/// ChangeError with as many machines as may be lost at once, one kind after another, each over
/// before the next.
async fn trouble(tier: Arc<Tier>, plan: Plan) {
    let until = tier.operator.now() + plan.length;
    let mut spare = 60;
    while tier.operator.now() < until {
        let mut machines: Vec<String> = tier.names_with_role(Role::Core);
        let mut back: Vec<String> = vec![];
        let mut settle = 300 * MS;
        for _ in 0..plan.tolerance {
            let name = machines.swap_remove(tier.operator.random() as usize % machines.len());
            let machine = tier.sim.find(&name);
            let others: Vec<usize> = tier
                .names_with_role(Role::Core)
                .iter()
                .filter(|n| **n != name)
                .map(|n| tier.sim.find(n))
                .collect();
            match tier.operator.random() % 8 {
                0 => tier.sim.partition(&[machine], &others),
                1 => others.iter().for_each(|o| tier.sim.block(machine, *o)),
                2 => others.iter().for_each(|o| tier.sim.block(*o, machine)),
                3 => tier.sim.freeze(machine),
                4 => tier.sim.set_costs(
                    machine,
                    MachineCosts {
                        core_percent: 2,
                        poll_us: 200,
                        byte_ns: 50,
                        sync_us: 60_000,
                    },
                ),
                5 => {
                    tier.kill(&name, tier.operator.random().is_multiple_of(2));
                    back.push(name);
                }
                6 => {
                    tier.kill(&name, true);
                    tier.sim.wipe_disk(machine);
                    back.push(name);
                    settle = 4_200 * MS;
                }
                _ => {
                    spare += 1;
                    tier.kill(&name, true);
                    tier.settings.lock().unwrap().remove(&name);
                    let other = format!("other{spare}");
                    tier.add_node(&other, Role::Core, spare % 4, spare, plan.tolerance);
                    back.push(other);
                    settle = 4_200 * MS;
                }
            }
        }
        tier.operator
            .sleep(300 * MS + tier.operator.random() % (2_500 * MS))
            .await;
        tier.sim.heal();
        for name in tier.names_with_role(Role::Core) {
            tier.sim.thaw(tier.sim.find(&name));
            tier.sim
                .set_costs(tier.sim.find(&name), MachineCosts::default());
        }
        back.iter().for_each(|n| tier.boot(n, false));
        tier.operator
            .sleep(settle + tier.operator.random() % SEC)
            .await;
    }
}

/// Nobody goes back within one life, adopts what was refused, or holds two contents under one
/// number.
fn check_fronts(tier: &Tier, calls: &[Operation<ConfigRegister>]) {
    let refused = |c: &&Operation<ConfigRegister>| {
        c.completion.as_ref().is_some_and(|e| {
            matches!(
                e.answer,
                ConfigAnswer::Conflict { .. } | ConfigAnswer::Invalid
            )
        })
    };
    let order = |c: &Operation<ConfigRegister>| match &c.call {
        ConfigCall::Put { base, text, .. } => Some((*base, text.clone())),
        ConfigCall::Read => None,
    };
    let refused_orders: BTreeSet<(u64, String)> =
        calls.iter().filter(refused).filter_map(order).collect();
    // A text is refused if it was on every base that it was sent on.
    let mut refused: BTreeSet<String> = refused_orders.iter().map(|o| o.1.clone()).collect();
    let other_orders = calls.iter().filter_map(order);
    for (_, text) in other_orders.filter(|order| !refused_orders.contains(order)) {
        refused.remove(&text);
    }
    for (name, front) in tier.fronts.lock().unwrap().iter() {
        let seen = front.configuration_history.lock().unwrap();
        assert!(seen.windows(2).all(|w| w[0].1 < w[1].1), "{name} went back");
        assert!(
            seen.iter().all(|s| !refused.contains(&s.2)),
            "{name} adopted what was refused"
        );
        assert_eq!(front.documents.conflicts.load(SeqCst), 0, "{name}");
    }
    for (name, control) in tier.control_nodes.lock().unwrap().iter() {
        assert_eq!(control.documents.conflicts.load(SeqCst), 0, "{name}");
    }
}

/// Runs a plan; the history, and what the last reads at all cores gave.
fn run(plan: Plan) -> (Vec<Operation<ConfigRegister>>, Outcome, Arc<Tier>) {
    let tier = Tier::new(plan.seed, plan.counts, plan.tolerance);
    let calls: Calls = Default::default();
    let recorded = calls.clone();
    run_script(&tier, move |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            let caller = |tier: &Arc<Tier>| Caller {
                tier: tier.clone(),
                calls: recorded.clone(),
                broken: plan.broken,
            };
            let first = Sent {
                base: 0,
                number: 1,
                text: "1 first".into(),
            };
            while caller(&tier).send_until_clear(&first).await != Some(true) {}
            tier.sim.set_network_conditions(NetworkConditions {
                drop_per_mille: 5,
                duplicate_per_mille: 20,
                delay_per_mille: 20,
                max_jitter: 500,
            });
            let until = tier.operator.now() + plan.length;
            let (done_tx, done) = async_channel::unbounded();
            for who in 0..plan.operators {
                let (caller, done_tx) = (caller(&tier), done_tx.clone());
                tier.operator.spawn(async move {
                    caller.operate(who, until).await;
                    let _ = done_tx.send(()).await;
                });
            }
            trouble(tier.clone(), plan).await;
            for _ in 0..plan.operators {
                let _ = done.recv().await;
            }
            tier.sim
                .set_network_conditions(NetworkConditions::default());
            tier.operator.sleep(4 * SEC).await;
            for core in tier.names_with_role(Role::Core) {
                let begin = tier.operator.now();
                let Some(ReadAnswer::Text(number, text)) = tier.read_configuration(&core).await
                else {
                    panic!("{core} cannot read\n{}", format_log(&tier))
                };
                caller(&tier).record(
                    begin,
                    ConfigCall::Read,
                    Some(ConfigAnswer::Text {
                        number,
                        text: text.to_string(),
                    }),
                );
            }
        })
    });
    let calls = calls.lock().unwrap().clone();
    let mut outcome = Outcome {
        calls: calls.len(),
        ..Default::default()
    };
    for call in calls
        .iter()
        .filter(|c| matches!(c.call, ConfigCall::Put { .. }))
    {
        match &call.completion {
            Some(Completion {
                answer: ConfigAnswer::Accepted { .. },
                ..
            }) => outcome.taken += 1,
            Some(_) => outcome.refused += 1,
            None => outcome.open += 1,
        }
    }
    outcome.slowest = calls
        .iter()
        .filter_map(|c| c.completion.as_ref().map(|e| e.at - c.invoked_at))
        .max()
        .unwrap_or(0);
    (calls, outcome, tier)
}

fn first_register() -> ConfigRegister {
    ConfigRegister::default()
}

fn holds(plan: Plan) {
    let (calls, outcome, tier) = run(plan);
    let verdict = check_linearizability(first_register(), &calls);
    println!(
        "seed {} cores {} tolerance {} operators {}: {outcome:?} {verdict:?}",
        plan.seed, plan.counts[0], plan.tolerance, plan.operators
    );
    assert!(
        verdict.is_linearizable(),
        "{plan:?}: {verdict:#?}\n{}",
        format_log(&tier)
    );
    check_fronts(&tier, &calls);
    assert!(outcome.calls > 200 && outcome.taken > 30, "{outcome:?}");
    assert!(outcome.slowest < 4 * SEC, "{outcome:?}");
}

const PLAN: Plan = Plan {
    seed: 0,
    counts: [4, 4, 3],
    tolerance: 1,
    operators: 2,
    length: 20 * SEC,
    broken: None,
};

#[test]
fn two_operators_on_four_cores() {
    (0..8).for_each(|i| {
        holds(Plan {
            seed: 7200 + i,
            ..PLAN
        })
    });
}

#[test]
fn eight_operators_on_four_cores() {
    (0..4).for_each(|i| {
        holds(Plan {
            seed: 7220 + i,
            operators: 8,
            ..PLAN
        })
    });
}

#[test]
fn operators_on_five_cores_that_bear_two_losses() {
    (0..4).for_each(|i| {
        holds(Plan {
            seed: 7240 + i,
            counts: [5, 5, 3],
            tolerance: 2,
            operators: 3,
            ..PLAN
        })
    });
}

#[test]
fn operators_on_eight_cores_that_bear_two_losses() {
    (0..4).for_each(|i| {
        holds(Plan {
            seed: 7260 + i,
            counts: [8, 5, 3],
            tolerance: 2,
            operators: 4,
            ..PLAN
        })
    });
}

/// What an operator was told of one store machine's retirement.
async fn ask_retire(tier: &Tier, core: &str, node: &str, call: RetireCall) -> Option<RetireAnswer> {
    let node = node.to_string();
    match call {
        RetireCall::Begin => {
            let got = tier
                .run_on(core, move |c| {
                    Box::pin(async move { c.retire_begin(&node).await })
                })
                .await?;
            match got {
                RetireOutcome::Begun => Some(RetireAnswer::Begun),
                RetireOutcome::TooFew => Some(RetireAnswer::TooFew),
                RetireOutcome::Unknown => Some(RetireAnswer::Unknown),
                RetireOutcome::Unavailable => None,
            }
        }
        RetireCall::Read => {
            let got = tier
                .run_on(core, move |c| {
                    Box::pin(async move { c.retire_state(&node).await })
                })
                .await?;
            match got {
                RetireState::Running => Some(RetireAnswer::Running),
                RetireState::Finished => Some(RetireAnswer::Finished),
                RetireState::NotRequested => Some(RetireAnswer::Unknown),
                RetireState::Unavailable => None,
            }
        }
    }
}

/// Three operators ask for a store machine's retirement and its state at any core, while cores are
/// in trouble.
fn retire_history(seed: u64) -> Vec<Operation<RetireRegister>> {
    let plan = Plan {
        seed,
        counts: [4, 5, 2],
        length: 12 * SEC,
        ..PLAN
    };
    let tier = Tier::new(seed, plan.counts, plan.tolerance);
    let calls: Arc<Mutex<Vec<Operation<RetireRegister>>>> = Default::default();
    let recorded = calls.clone();
    run_script(&tier, move |tier| {
        Box::pin(async move {
            boot_and_wait(&tier).await;
            tier.sim.set_network_conditions(NetworkConditions {
                drop_per_mille: 5,
                duplicate_per_mille: 20,
                delay_per_mille: 20,
                max_jitter: 500,
            });
            let until = tier.operator.now() + plan.length;
            let (done_tx, done) = async_channel::unbounded();
            for _ in 0..3 {
                let (tier, recorded, done_tx) = (tier.clone(), recorded.clone(), done_tx.clone());
                tier.operator.clone().spawn(async move {
                    while tier.operator.now() < until {
                        let cores = tier.names_with_role(Role::Core);
                        let core = &cores[tier.operator.random() as usize % cores.len()];
                        let call = if tier.operator.random().is_multiple_of(12) {
                            RetireCall::Begin
                        } else {
                            RetireCall::Read
                        };
                        let begin = tier.operator.now();
                        let answer = ask_retire(&tier, core, "store2", call).await;
                        let completion = answer.map(|answer| Completion {
                            at: tier.operator.now(),
                            answer,
                        });
                        // A read without an answer has no effect.
                        if completion.is_some() || matches!(call, RetireCall::Begin) {
                            recorded.lock().unwrap().push(Operation {
                                invoked_at: begin,
                                call,
                                completion,
                            });
                        }
                        tier.operator
                            .sleep(tier.operator.random() % (150 * MS))
                            .await;
                    }
                    let _ = done_tx.send(()).await;
                });
            }
            trouble(tier.clone(), plan).await;
            for _ in 0..3 {
                let _ = done.recv().await;
            }
        })
    });
    calls.lock().unwrap().clone()
}

#[test]
fn retiring_a_machine_and_reading_its_state() {
    for seed in 7300..7306 {
        let calls = retire_history(seed);
        let told = |answer| {
            calls
                .iter()
                .filter(|c| c.completion.as_ref().is_some_and(|e| e.answer == answer))
                .count()
        };
        let counts = [
            RetireAnswer::Unknown,
            RetireAnswer::Begun,
            RetireAnswer::Running,
            RetireAnswer::Finished,
        ]
        .map(told);
        let verdict = check_linearizability(RetireRegister::default(), &calls);
        println!(
            "seed {seed}: {} calls; unknown, begun, running, finished {counts:?}; {verdict:?}",
            calls.len()
        );
        assert!(verdict.is_linearizable(), "{verdict:#?}");
        assert!(counts[1] > 0 && counts[3] > 0, "{counts:?}");
    }
}

/// A history of the given calls: begin, end, call, answer.
fn config_history(
    calls: &[(u64, u64, ConfigCall, ConfigAnswer)],
) -> Vec<Operation<ConfigRegister>> {
    let operation = |c: &(u64, u64, ConfigCall, ConfigAnswer)| Operation {
        invoked_at: c.0,
        call: c.2.clone(),
        completion: Some(Completion {
            at: c.1,
            answer: c.3.clone(),
        }),
    };
    calls.iter().map(operation).collect()
}

fn put(base: u64, number: u64, text: &str) -> ConfigCall {
    ConfigCall::Put {
        base,
        number,
        text: text.into(),
    }
}

fn text(number: u64, text: &str) -> ConfigAnswer {
    ConfigAnswer::Text {
        number,
        text: text.into(),
    }
}

/// Histories that no register gives, one for each rule, and the sound ones beside them.
#[test]
fn planted_histories_are_told_apart() {
    let taken = |number| ConfigAnswer::Accepted { number };
    let verdict = |calls: &[(u64, u64, ConfigCall, ConfigAnswer)]| {
        check_linearizability(first_register(), &config_history(calls)).is_linearizable()
    };
    let first = (0, 1, put(0, 1, "a"), taken(1));
    // Two on one base.
    assert!(!verdict(&[
        first.clone(),
        (2, 5, put(1, 2, "b"), taken(2)),
        (3, 6, put(1, 2, "c"), taken(2))
    ]));
    assert!(verdict(&[
        first.clone(),
        (2, 5, put(1, 2, "b"), taken(2)),
        (3, 6, put(1, 2, "c"), ConfigAnswer::Conflict { current: 2 })
    ]));
    // A repeat is refused.
    let others = [
        first.clone(),
        (2, 3, put(1, 2, "b"), taken(2)),
        (4, 5, put(2, 3, "c"), taken(3)),
    ];
    let with = |last| [others.to_vec(), vec![last]].concat();
    assert!(!verdict(&with((
        6,
        7,
        put(1, 2, "b"),
        ConfigAnswer::Conflict { current: 3 }
    ))));
    assert!(verdict(&with((6, 7, put(1, 2, "b"), taken(2)))));
    // The text of a taken order on another base is another order: it is not acknowledged.
    assert!(!verdict(&with((6, 7, put(3, 2, "b"), taken(2)))));
    assert!(!verdict(&with((6, 7, put(2, 2, "b"), taken(2)))));
    assert!(!verdict(&with((6, 7, put(3, 3, "c"), taken(3)))));
    assert!(verdict(&with((
        6,
        7,
        put(3, 2, "b"),
        ConfigAnswer::Invalid
    ))));
    assert!(verdict(&with((
        6,
        7,
        put(2, 2, "b"),
        ConfigAnswer::Conflict { current: 3 }
    ))));
    // A read of what was, after the change was acknowledged; beside it, either may be read.
    assert!(!verdict(&with((6, 7, ConfigCall::Read, text(2, "b")))));
    assert!(verdict(&with((4, 7, ConfigCall::Read, text(2, "b")))));
    // A refused change is read later.
    assert!(!verdict(&with((6, 7, ConfigCall::Read, text(4, "d")))));
    // Two reads, the later one older.
    let reads = |end| {
        [
            first.clone(),
            (2, 9, put(1, 2, "b"), taken(2)),
            (3, end, ConfigCall::Read, text(2, "b")),
            (6, 7, ConfigCall::Read, text(1, "a")),
        ]
    };
    assert!(!verdict(&reads(4)));
    assert!(verdict(&reads(8)));
    // A change without an answer may be read or not, but once it was, it stays.
    let mut open = config_history(&[first.clone(), (6, 7, ConfigCall::Read, text(2, "b"))]);
    open.push(Operation {
        invoked_at: 2,
        call: put(1, 2, "b"),
        completion: None,
    });
    assert!(check_linearizability(first_register(), &open).is_linearizable());
    open.extend(config_history(&[(8, 9, ConfigCall::Read, text(1, "a"))]));
    assert!(!check_linearizability(first_register(), &open).is_linearizable());
    // A machine that was told finished is not running again.
    let retire = |answers: &[RetireAnswer]| {
        let call = |a: &RetireAnswer| {
            if matches!(a, RetireAnswer::Begun) {
                RetireCall::Begin
            } else {
                RetireCall::Read
            }
        };
        let operation = |(i, a): (usize, &RetireAnswer)| Operation {
            invoked_at: 2 * i as u64,
            call: call(a),
            completion: Some(Completion {
                at: 2 * i as u64 + 1,
                answer: *a,
            }),
        };
        check_linearizability(
            RetireRegister::default(),
            &answers
                .iter()
                .enumerate()
                .map(operation)
                .collect::<Vec<_>>(),
        )
        .is_linearizable()
    };
    use RetireAnswer::*;
    assert!(retire(&[
        Unknown, Begun, Running, Begun, Finished, Finished, Begun
    ]));
    assert!(!retire(&[Begun, Finished, Running]));
    assert!(!retire(&[Begun, Unknown]));
}

/// Whether some of a few runs shows the fault.
fn is_found(broken: Broken) -> bool {
    (0..6).any(|i| {
        let (calls, ..) = run(Plan {
            seed: 7280 + i,
            broken: Some(broken),
            operators: 4,
            ..PLAN
        });
        let verdict = check_linearizability(first_register(), &calls);
        println!("{broken:?} seed {}: {verdict:?}", 7280 + i);
        matches!(verdict, Verdict::NotLinearizable { .. })
    })
}

#[test]
fn the_check_finds_orders_that_do_not_look_at_their_base() {
    assert!(is_found(Broken::AnyBase));
}

#[test]
fn the_check_finds_orders_that_forget_what_they_took() {
    assert!(is_found(Broken::NoMemory));
}

#[test]
fn the_check_finds_orders_that_are_known_by_their_text_alone() {
    assert!(is_found(Broken::TextAlone));
}

#[test]
fn the_check_finds_reads_of_what_is_on_hand() {
    assert!(is_found(Broken::ReadOnHand));
}
