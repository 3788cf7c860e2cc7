//! A second loss in the middle of a change of seats, with turns and budgets on the disks.

use std::sync::Arc;
use yewcross_common::constants::*;
use yewcross_common::process_settings::Role;
use yewcross_common::turn_log::client::TurnLogClient;
use yewcross_common::turn_log::{OpenTurn, Turn, TurnLogService};
use yewcross_control::api::*;
use yewcross_testkit::tier::{Tier, boot_and_wait, format_log, run_script};

const PROGRAMS: usize = 20;

/// One turn of the program, as a front keeps it.
fn first_turn(program: usize) -> (OpenTurn, Turn) {
    let id = format!("turn-{program}");
    let open = OpenTurn {
        turn: id.clone(),
        program: format!("program-{program}"),
        prev: String::new(),
        max_output_tokens: 10,
        budget: Some(1_000),
    };
    let turn = Turn {
        id,
        input: "question".into(),
        output: "answer\n".into(),
        tokens: 20,
        retain_ms: 60_000,
        ..Turn::default()
    };
    (open, turn)
}

/// Keeps a turn of each program on the stores, through the first front.
async fn keep_turns(tier: &Arc<Tier>) {
    let front = tier.front("front1").expect("the front runs");
    let startup = tier.settings.lock().unwrap()["front1"].clone();
    let client = TurnLogClient::new(
        &front.members,
        &front.documents,
        &startup,
        &Default::default(),
    );
    for program in 0..PROGRAMS {
        let (open, turn) = first_turn(program);
        let until = tier.operator.now() + 2 * SEC;
        client
            .open(open.clone(), until)
            .await
            .expect("the turn is opened");
        client
            .finish(open, turn, 10, until)
            .await
            .expect("the turn is kept");
    }
}

/// Begins to retire one store, and at some moment of that change another store, which stays, loses
/// its disk and comes back empty. Returns the time from its return until no change is under way and
/// it holds a seat again, us.
async fn wiped_while_another_retires(tier: &Arc<Tier>, wipe_after: u64) -> u64 {
    boot_and_wait(tier).await;
    tier.put_until_acknowledged(0, "5 a").await;
    keep_turns(tier).await;
    let begun = tier
        .run_on("core2", |c| {
            Box::pin(async move { c.retire_begin("store2").await })
        })
        .await;
    assert_eq!(begun, Some(RetireOutcome::Begun));
    tier.operator.sleep(wipe_after).await;
    tier.kill("store3", true);
    tier.sim.wipe_disk(tier.sim.find("store3"));
    tier.operator.sleep(900 * MS).await;
    tier.boot("store3", false);
    let (core, stay) = (
        tier.names_with_role(Role::Core),
        ["store1", "store3", "store4"].map(String::from),
    );
    tier.wait_for_members(&core, &stay, 10 * SEC)
        .await
        .unwrap_or_else(|| panic!("wiped {} ms later\n{}", wipe_after / MS, format_log(tier)))
}

/// A store that keeps its seat loses its disk while another one retires, at each moment of that
/// change.
#[test]
fn a_disk_lost_while_a_store_retires_holds_nothing_up() {
    for step in 0..25 {
        let tier = Tier::new(360 + step, [4, 4, 3], 1);
        let us = run_script(&tier, |tier| {
            Box::pin(async move { wiped_while_another_retires(&tier, step * 10 * MS).await })
        });
        println!(
            "wiped {} ms after the order to retire: whole after {} ms",
            step * 10,
            us / MS
        );
        assert!(us < 1_400 * MS, "{us}\n{}", format_log(&tier));
    }
}

/// A machine is gone for good, and at once two new ones come: one takes the lost seat, the other
/// gets a seat more. Returns the time until both have theirs, us.
async fn two_come_after_one_is_lost(tier: &Arc<Tier>, role: Role, lost: &str) -> u64 {
    boot_and_wait(tier).await;
    tier.put_until_acknowledged(0, "5 a").await;
    keep_turns(tier).await;
    tier.kill(lost, true);
    tier.settings.lock().unwrap().remove(lost);
    tier.operator.sleep(200 * MS).await;
    for (i, name) in ["spare1", "spare2"].into_iter().enumerate() {
        tier.add_node(name, role, i, 50 + i, 1);
        tier.boot(name, false);
    }
    let (core, store) = (
        tier.names_with_role(Role::Core),
        tier.names_with_role(Role::Store),
    );
    tier.wait_for_members(&core, &store, 12 * SEC)
        .await
        .unwrap_or_else(|| panic!("{lost} keeps its seat\n{}", format_log(tier)))
}

/// A seat more is given only while the others answer; the lost seat whose successor has come is
/// none of these.
#[test]
fn a_lost_seat_is_filled_though_two_machines_come() {
    for (seed, role, lost) in [(400, Role::Store, "store2"), (401, Role::Core, "core3")] {
        let tier = Tier::new(seed, [4, 5, 3], 1);
        let us = run_script(&tier, |tier| {
            Box::pin(async move { two_come_after_one_is_lost(&tier, role, lost).await })
        });
        println!(
            "{lost} gone: both newcomers have seats after {} ms",
            us / MS
        );
        assert!(us < 3 * SEC, "{us}\n{}", format_log(&tier));
    }
}
