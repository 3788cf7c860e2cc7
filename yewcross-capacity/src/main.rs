//! `yewcross-plan`: prints the effects of a change, or the cost of each mechanism at a given size.

use std::net::SocketAddr;
use yewcross_capacity::{
    Change, Checkpoint, CheckpointError, capacity, load_checkpoint, plan, take_checkpoint,
};
use yewcross_common::process_settings::exit;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_control::layout::DiskChange;

xflags::xflags! {
    /// Shows what a change would move, and what a size would cost. Changes nothing.
    cmd yewcross-plan {
        /// Shows what a change would move.
        default cmd moves {
            /// Operator address of a core, to ask the live tier.
            optional --core addr: SocketAddr
            /// A checkpoint saved before, instead of the live tier.
            optional --checkpoint file: String
            /// Write the checkpoint that was taken, and end.
            optional --save file: String
            /// A proposed configuration (JSON).
            optional --config file: String
            /// Empty this store machine or disk.
            optional --empty disk: String
            /// Admit this machine.
            optional --admit machine: String
            /// Replace a disk by a machine: OLD:NEW.
            optional --replace pair: String
            /// A machine or server goes away.
            optional --without name: String
            /// Machine-readable output.
            optional --json
        }
        /// Works out what each mechanism costs a node at a size, and up to which size it fits.
        cmd capacity {
            /// Sizes, limits and costs (TOML); without it, those of docs/CAPACITY.md.
            optional --inputs file: String
            /// Measure what messages cost on this machine, print it, and end.
            optional --measure
            /// Machine-readable output.
            optional --json
        }
    }
}

/// Prints the reason to standard error and exits with this code.
fn fail(exit_code: i32, reason: impl std::fmt::Display) -> ! {
    eprintln!("{reason}");
    std::process::exit(exit_code)
}

/// The state of the tier, from a file or from its nodes.
fn read_checkpoint(args: &Moves) -> Result<Checkpoint, CheckpointError> {
    match (&args.checkpoint, args.core) {
        (Some(path), None) => load_checkpoint(path),
        (None, Some(core)) => smol::block_on(take_checkpoint(&OsRuntime::start(".", 1), core)),
        _ => fail(exit::USAGE, "name one of --core and --checkpoint"),
    }
}

fn run_capacity(args: &Capacity) {
    if args.measure {
        let costs = capacity::measure();
        return print!("[costs]\n{}", toml::to_string(&costs).unwrap_or_default());
    }
    let read_file = |path: &String| {
        std::fs::read_to_string(path)
            .unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{path}: {e}")))
    };
    let (default_name, default_text) = (
        "the given inputs".to_string(),
        capacity::DEFAULT_INPUTS.to_string(),
    );
    let (name, text) = args
        .inputs
        .as_ref()
        .map_or((default_name, default_text), |path| {
            (path.clone(), read_file(path))
        });
    let inputs = capacity::Inputs::parse(&text)
        .unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{name}: {e}")));
    let rows = capacity::cost_table(&inputs);
    print!(
        "{}",
        if args.json {
            serde_json::to_string_pretty(&rows).unwrap_or_default() + "\n"
        } else {
            capacity::format_table(&rows)
        }
    );
}

fn main() {
    match YewcrossPlan::from_env_or_exit().subcommand {
        YewcrossPlanCmd::Moves(args) => run_moves(&args),
        YewcrossPlanCmd::Capacity(args) => run_capacity(&args),
    }
}

fn run_moves(args: &Moves) {
    let mut changes = vec![];
    args.empty
        .iter()
        .for_each(|disk| changes.push(Change::Disks(DiskChange::Remove(disk.clone()))));
    args.admit
        .iter()
        .for_each(|machine| changes.push(Change::Disks(DiskChange::Add(machine.clone()))));
    args.replace
        .iter()
        .for_each(|pair| match pair.split_once(':') {
            Some((old, new)) => {
                changes.push(Change::Disks(DiskChange::Replace(old.into(), new.into())))
            }
            None => fail(exit::USAGE, "--replace: OLD:NEW"),
        });
    args.without
        .iter()
        .for_each(|name| changes.push(Change::Failure(name.clone())));
    args.config.iter().for_each(|path| {
        let text = std::fs::read_to_string(path)
            .unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{path}: {e}")));
        changes.push(Change::Config(text));
    });
    if changes.len() != 1 && args.save.is_none() {
        fail(
            exit::USAGE,
            "name one change: --config, --empty, --admit, --replace or --without",
        );
    }
    let checkpoint = read_checkpoint(args).unwrap_or_else(|e| fail(exit::BAD_STARTUP, e));
    if let Some(path) = &args.save {
        let json = serde_json::to_vec_pretty(&checkpoint).unwrap_or_default();
        std::fs::write(path, json)
            .unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{path}: {e}")));
        return;
    }
    let plan = plan(&checkpoint, &changes[0]);
    let text = if args.json {
        serde_json::to_string_pretty(&plan).unwrap_or_default() + "\n"
    } else {
        plan.text()
    };
    print!("{text}");
    std::process::exit(if plan.rejections.is_empty() {
        exit::OK
    } else {
        1
    });
}
