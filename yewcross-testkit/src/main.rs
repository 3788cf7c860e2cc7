use std::path::PathBuf;
use strum::IntoEnumIterator;
use yewcross_common::process_settings::exit;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_testkit::proof::{Act, Plan};
use yewcross_testkit::{fleet, grind, platform, proof, standin};

xflags::xflags! {
    /// Stand-ins, callers, local fleets and the simulator of yewcross.
    cmd yewcross-lab {
        /// Bring up a whole fleet on this machine, run traffic and three breakdowns, print figures.
        cmd up {
            /// kowhai, consorcio or small
            optional --shape shape: String
            /// Folder for startup files, data and logs (default: a new one in the temporary
            /// folder).
            optional --dir dir: PathBuf
            /// First port (default: the first run of ports that nobody holds).
            optional --base base: u16
            /// Seconds of traffic (default 40).
            optional --seconds seconds: u64
            /// Sessions that speak at once (default 24).
            optional --sessions sessions: usize
        }
        /// Run simulated fleets through breakdowns; every seed is judged.
        cmd sim {
            /// kowhai, consorcio or small (default small)
            optional --shape shape: String
            /// Breakdowns in turn, joined by +; "each" runs every one alone, "pairs" draws two per
            /// seed.
            optional --acts acts: String
            /// First seed (default 1).
            optional --from from: u64
            /// How many seeds (default 1).
            optional --count count: u64
            /// Budget in tokens for each program.
            optional --budget budget: u64
            /// Switch kv_share off, to compare.
            optional --no-share
            /// Let lost turns be sent again.
            optional --repeatable
            /// Let all programs spend from one budget.
            optional --one-purse
            /// Print the readable trace.
            optional --trace
        }
        /// Grind the register alone: many owners, few keys, failing disks and links.
        cmd grind {
            /// First seed (default 1).
            optional --from from: u64
            /// How many seeds (default 1).
            optional --count count: u64
            /// Print the readable trace.
            optional --trace
        }
        /// Run one stand-in back end.
        cmd standin {
            required --spec file: String
        }
        /// Run the stand-in platform list.
        cmd platform {
            required --at addr: String
            required --list file: String
        }
    }
}

fn fail(code: i32, why: &str) -> ! {
    eprintln!("{why}");
    std::process::exit(code)
}

fn read<T: for<'a> serde::Deserialize<'a>>(path: &str) -> T {
    let b =
        std::fs::read(path).unwrap_or_else(|e| fail(exit::BAD_STARTUP, &format!("{path}: {e}")));
    serde_json::from_slice(&b).unwrap_or_else(|e| fail(exit::BAD_STARTUP, &format!("{path}: {e}")))
}

fn seeds(from: Option<u64>, count: Option<u64>) -> std::ops::Range<u64> {
    let from = from.unwrap_or(1);
    let to = from
        .checked_add(count.unwrap_or(1))
        .unwrap_or_else(|| fail(exit::USAGE, "--from, --count: past the last seed"));
    from..to
}

fn main() {
    let a = YewcrossLab::from_env_or_exit();
    match a.subcommand {
        YewcrossLabCmd::Up(u) => {
            let w = OsRuntime::start(".", 2);
            let shape = u.shape.unwrap_or("kowhai".into());
            let dir = u
                .dir
                .unwrap_or(std::env::temp_dir().join(format!("yewcross-{}", std::process::id())));
            let base = u.base.unwrap_or(0);
            if base > 0 && !(1024..=60_000).contains(&base) {
                fail(exit::USAGE, "--base: must be 1024 to 60000");
            }
            let r = smol::block_on(fleet::up(
                w,
                &shape,
                &dir,
                base,
                u.seconds.unwrap_or(40),
                u.sessions.unwrap_or(24),
            ));
            r.unwrap_or_else(|e| fail(1, &e));
        }
        YewcrossLabCmd::Sim(s) => {
            let shape = s.shape.unwrap_or("small".into());
            if yewcross_testkit::shape::shape(&shape, &|_, _| ([127, 0, 0, 1], 1).into()).is_none()
            {
                fail(
                    exit::USAGE,
                    &format!(
                        "--shape: no shape {shape}; there are kowhai, consorcio, small, metered, wide, disks"
                    ),
                );
            }
            let which = s.acts.unwrap_or("calm".into());
            let all: Vec<Act> = Act::iter().collect();
            let mut plans = vec![];
            for seed in seeds(s.from, s.count) {
                match which.as_str() {
                    "each" => all
                        .iter()
                        .for_each(|a| plans.push(Plan::new(seed, &shape, &[*a]))),
                    "pairs" => {
                        let mut r = fastrand::Rng::with_seed(seed);
                        let (a, b) = (all[r.usize(0..all.len())], all[r.usize(0..all.len())]);
                        plans.push(Plan::new(seed, &shape, &[a, b]));
                    }
                    v => {
                        let acts: Option<Vec<Act>> = v.split('+').map(|x| x.parse().ok()).collect();
                        let acts = acts.unwrap_or_else(|| {
                            fail(exit::USAGE, &format!("--acts: unknown act in {v}"))
                        });
                        plans.push(Plan::new(seed, &shape, &acts));
                    }
                }
            }
            plans.iter_mut().for_each(|p| {
                p.budget = s.budget;
                p.no_share = s.no_share;
                p.repeatable = s.repeatable;
                p.one_purse = s.one_purse;
            });
            let bad = proof::sweep(plans, s.trace);
            std::process::exit(if bad == 0 { exit::OK } else { 1 });
        }
        YewcrossLabCmd::Grind(g) => {
            let bad = grind::sweep(seeds(g.from, g.count).collect(), g.trace);
            std::process::exit(if bad == 0 { exit::OK } else { 1 });
        }
        YewcrossLabCmd::Standin(s) => {
            let w = OsRuntime::start(".", 1);
            let r = smol::block_on(standin::Standin::start(
                &w,
                read(&s.spec),
                Default::default(),
            ));
            r.map(|_| ())
                .unwrap_or_else(|e| fail(exit::CANNOT_BIND, &e.to_string()));
            smol::block_on(std::future::pending::<()>())
        }
        YewcrossLabCmd::Platform(p) => {
            let w = OsRuntime::start(".", 1);
            let at =
                p.at.parse()
                    .unwrap_or_else(|_| fail(exit::USAGE, "--at: not an address"));
            let r = smol::block_on(platform::Platform::start(&w, at, read(&p.list)));
            r.map(|_| ())
                .unwrap_or_else(|e| fail(exit::CANNOT_BIND, &e.to_string()));
            smol::block_on(std::future::pending::<()>())
        }
    }
}
