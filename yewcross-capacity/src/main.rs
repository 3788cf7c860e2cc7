use std::net::SocketAddr;
use yewcross_capacity::{Change, Checkpoint, Fault, capacity, load, plan, take};
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

fn fail(code: i32, why: impl std::fmt::Display) -> ! {
    eprintln!("{why}");
    std::process::exit(code)
}

fn state(a: &Moves) -> Result<Checkpoint, Fault> {
    match (&a.checkpoint, a.core) {
        (Some(f), None) => load(f),
        (None, Some(at)) => smol::block_on(take(&OsRuntime::start(".", 1), at)),
        _ => fail(exit::USAGE, "name one of --core and --checkpoint"),
    }
}

fn size(a: &Capacity) {
    if a.measure {
        let c = capacity::measure();
        return print!("[costs]\n{}", toml::to_string(&c).unwrap_or_default());
    }
    let read = |f: &String| {
        std::fs::read_to_string(f).unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{f}: {e}")))
    };
    let (name, given) = ("the given inputs".to_string(), capacity::GIVEN.to_string());
    let (at, t) = a
        .inputs
        .as_ref()
        .map_or((name, given), |f| (f.clone(), read(f)));
    let i = capacity::Inputs::read(&t)
        .unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{at}: {e}")));
    let v = capacity::table(&i);
    print!(
        "{}",
        if a.json {
            serde_json::to_string_pretty(&v).unwrap_or_default() + "\n"
        } else {
            capacity::text(&v)
        }
    );
}

fn main() {
    match YewcrossPlan::from_env_or_exit().subcommand {
        YewcrossPlanCmd::Moves(a) => moves(&a),
        YewcrossPlanCmd::Capacity(a) => size(&a),
    }
}

fn moves(a: &Moves) {
    let mut ch = vec![];
    a.empty
        .iter()
        .for_each(|d| ch.push(Change::Disks(DiskChange::Remove(d.clone()))));
    a.admit
        .iter()
        .for_each(|d| ch.push(Change::Disks(DiskChange::Add(d.clone()))));
    a.replace.iter().for_each(|p| match p.split_once(':') {
        Some((x, y)) => ch.push(Change::Disks(DiskChange::Replace(x.into(), y.into()))),
        None => fail(exit::USAGE, "--replace: OLD:NEW"),
    });
    a.without
        .iter()
        .for_each(|n| ch.push(Change::Without(n.clone())));
    a.config.iter().for_each(|f| {
        let t = std::fs::read_to_string(f)
            .unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{f}: {e}")));
        ch.push(Change::Config(t));
    });
    if ch.len() != 1 && a.save.is_none() {
        fail(
            exit::USAGE,
            "name one change: --config, --empty, --admit, --replace or --without",
        );
    }
    let c = state(a).unwrap_or_else(|e| fail(exit::BAD_STARTUP, e));
    if let Some(f) = &a.save {
        let b = serde_json::to_vec_pretty(&c).unwrap_or_default();
        std::fs::write(f, b).unwrap_or_else(|e| fail(exit::BAD_STARTUP, format!("{f}: {e}")));
        return;
    }
    let p = plan(&c, &ch[0]);
    let text = if a.json {
        serde_json::to_string_pretty(&p).unwrap_or_default() + "\n"
    } else {
        p.text()
    };
    print!("{text}");
    std::process::exit(if p.refused.is_empty() { exit::OK } else { 1 });
}
