//! The command line of the testkit.

use std::path::PathBuf;
use strum::IntoEnumIterator;
use yewcross_common::process_settings::exit;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_testkit::proof::{Fault, Plan};
use yewcross_testkit::stub_server::StubServer;
use yewcross_testkit::topology::topology;
use yewcross_testkit::{fleet, platform, proof, register_stress};

xflags::xflags! {
    /// Stub servers, callers, local fleets and the simulator of yewcross.
    cmd yewcross-lab {
        /// Run a local fleet with traffic and three faults, and print figures.
        cmd up {
            /// kowhai, consorcio or small (default kowhai)
            optional --shape shape: String
            /// Directory for startup files, data and logs (default: a new one in the temporary
            /// directory).
            optional --dir dir: PathBuf
            /// First port, 1024 to 60000 (default: the first free range of ports).
            optional --base base: u16
            /// Seconds of traffic (default 40).
            optional --seconds seconds: u64
            /// Number of concurrent sessions (default 24).
            optional --sessions sessions: usize
        }
        /// Run simulated fleets with faults and check every run.
        cmd sim {
            /// kowhai, consorcio, small, metered, wide or disks (default small)
            optional --shape shape: String
            /// Faults in order, joined by +; "each" runs every fault alone, "pairs" draws two at
            /// random per seed (default calm).
            optional --acts acts: String
            /// First seed (default 1).
            optional --from from: u64
            /// Number of seeds (default 1).
            optional --count count: u64
            /// Budget in tokens for each program.
            optional --budget budget: u64
            /// Disable kv_share, for comparison.
            optional --no-share
            /// Allow lost turns to be sent again.
            optional --repeatable
            /// Make all programs spend from one budget.
            optional --one-purse
            /// Print a readable trace.
            optional --trace
        }
        /// Stress the register alone: all stores change a few keys while disks and links fail.
        cmd grind {
            /// First seed (default 1).
            optional --from from: u64
            /// Number of seeds (default 1).
            optional --count count: u64
            /// Print a readable trace.
            optional --trace
        }
        /// Run one stub server.
        cmd standin {
            /// JSON file with the settings of the server.
            required --spec file: String
        }
        /// Run the stub platform, which lists the servers.
        cmd platform {
            /// Address to bind.
            required --at addr: String
            /// JSON file with the listed servers.
            required --list file: String
        }
    }
}

/// Seconds of traffic of `up`, unless given.
const DEFAULT_SECONDS: u64 = 40;
/// Number of concurrent sessions of `up`, unless given.
const DEFAULT_SESSIONS: usize = 24;
/// Range of the first port of `up`.
const FIRST_PORTS: std::ops::RangeInclusive<u16> = 1024..=60_000;

fn exit_with(code: i32, reason: &str) -> ! {
    eprintln!("{reason}");
    std::process::exit(code)
}

/// Exits with 0 if no run failed, else with 1.
fn exit_by_failures(failed_runs: usize) -> ! {
    std::process::exit(if failed_runs == 0 { exit::OK } else { 1 })
}

fn read_json<T: for<'a> serde::Deserialize<'a>>(path: &str) -> T {
    let bytes = std::fs::read(path)
        .unwrap_or_else(|error| exit_with(exit::BAD_STARTUP, &format!("{path}: {error}")));
    serde_json::from_slice(&bytes)
        .unwrap_or_else(|error| exit_with(exit::BAD_STARTUP, &format!("{path}: {error}")))
}

fn seeds(from: Option<u64>, count: Option<u64>) -> std::ops::Range<u64> {
    let from = from.unwrap_or(1);
    let end = from.checked_add(count.unwrap_or(1)).unwrap_or_else(|| {
        exit_with(
            exit::USAGE,
            "--from, --count: the range extends past the last seed",
        )
    });
    from..end
}

fn up(options: Up) {
    let runtime = OsRuntime::start(".", 2);
    let topology = options.shape.unwrap_or("kowhai".into());
    let name = format!("yewcross-{}", std::process::id());
    let dir = options.dir.unwrap_or(std::env::temp_dir().join(name));
    let base = options.base.unwrap_or(0);
    if base > 0 && !FIRST_PORTS.contains(&base) {
        exit_with(exit::USAGE, "--base: must be 1024 to 60000");
    }
    let seconds = options.seconds.unwrap_or(DEFAULT_SECONDS);
    let sessions = options.sessions.unwrap_or(DEFAULT_SESSIONS);
    let result = smol::block_on(fleet::run_demonstration(
        runtime, &topology, &dir, base, seconds, sessions,
    ));
    result.unwrap_or_else(|error| exit_with(1, &error));
}

/// Plans of one seed, with the faults that `--acts` selects.
fn plans(seed: u64, topology: &str, acts: &str) -> Vec<Plan> {
    let all: Vec<Fault> = Fault::iter().collect();
    match acts {
        "each" => all
            .iter()
            .map(|fault| Plan::new(seed, topology, &[*fault]))
            .collect(),
        "pairs" => {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut draw = || all[random.usize(0..all.len())];
            let pair = [draw(), draw()];
            vec![Plan::new(seed, topology, &pair)]
        }
        names => {
            let faults: Option<Vec<Fault>> =
                names.split('+').map(|name| name.parse().ok()).collect();
            let faults = faults.unwrap_or_else(|| {
                exit_with(exit::USAGE, &format!("--acts: unknown act in {names}"))
            });
            vec![Plan::new(seed, topology, &faults)]
        }
    }
}

fn simulate(options: Sim) -> ! {
    let name = options.shape.unwrap_or("small".into());
    if topology(&name, &|_, _| ([127, 0, 0, 1], 1).into()).is_none() {
        exit_with(
            exit::USAGE,
            &format!(
                "--shape: no shape {name}; available: kowhai, consorcio, small, metered, wide, disks"
            ),
        );
    }
    let acts = options.acts.unwrap_or("calm".into());
    let mut all: Vec<Plan> = seeds(options.from, options.count)
        .flat_map(|seed| plans(seed, &name, &acts))
        .collect();
    for plan in &mut all {
        plan.budget = options.budget;
        plan.disable_kv_share = options.no_share;
        plan.repeatable = options.repeatable;
        plan.single_budget = options.one_purse;
    }
    exit_by_failures(proof::sweep(all, options.trace))
}

fn serve_stub(options: Standin) -> ! {
    let runtime = OsRuntime::start(".", 1);
    let settings = read_json(&options.spec);
    let started = smol::block_on(StubServer::start(&runtime, settings, Default::default()));
    let _server = started.unwrap_or_else(|error| exit_with(exit::CANNOT_BIND, &error.to_string()));
    smol::block_on(std::future::pending())
}

fn serve_platform(options: Platform) -> ! {
    let runtime = OsRuntime::start(".", 1);
    let address = options
        .at
        .parse()
        .unwrap_or_else(|_| exit_with(exit::USAGE, "--at: not a socket address"));
    let list = read_json(&options.list);
    let started = smol::block_on(platform::Platform::start(&runtime, address, list));
    let _platform =
        started.unwrap_or_else(|error| exit_with(exit::CANNOT_BIND, &error.to_string()));
    smol::block_on(std::future::pending())
}

fn main() {
    match YewcrossLab::from_env_or_exit().subcommand {
        YewcrossLabCmd::Up(options) => up(options),
        YewcrossLabCmd::Sim(options) => simulate(options),
        YewcrossLabCmd::Grind(options) => {
            let seeds = seeds(options.from, options.count).collect();
            exit_by_failures(register_stress::sweep(seeds, options.trace))
        }
        YewcrossLabCmd::Standin(options) => serve_stub(options),
        YewcrossLabCmd::Platform(options) => serve_platform(options),
    }
}
