//! The process of a data-plane node: reads its startup file, serves until a signal stops it, and
//! reloads the file on SIGHUP.

use std::sync::Arc;
use yewcross_common::process;
use yewcross_common::process::signals::{ProcessSignals, StartOutcome};
use yewcross_common::process::{log_output, memory};
use yewcross_common::process_settings::{ProcessSettings, exit};
use yewcross_common::runtime::Runtime;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_proxy::Front;

xflags::xflags! {
    /// Data plane of the yewcross serving tier.
    cmd yewcross-front {
        /// Startup file (TOML); see docs/operating.md.
        required --startup file: String
        /// Check the startup file, print every error, and exit.
        optional --check
    }
}

fn main() {
    let flags = YewcrossFront::from_env_or_exit();
    log_output::install();
    let signals = ProcessSignals::install().unwrap_or_else(|error| {
        let reason = format!("cannot handle signals: {error}");
        std::process::exit(process::log_end(exit::CANNOT_BIND, &reason))
    });
    let settings = yewcross_common::process_settings::load(&flags.startup, true, flags.check);
    let runtime = OsRuntime::start_within(".", settings.threads, &settings.bounds);
    let exit_code = smol::block_on(run(&runtime, settings, &flags.startup, signals));
    std::process::exit(exit_code);
}

/// Runs the node until it stops and returns the exit code.
async fn run(
    runtime: &Runtime,
    settings: ProcessSettings,
    startup_file: &str,
    mut signals: ProcessSignals,
) -> i32 {
    let outcome = signals.start(Front::start(runtime, settings)).await;
    let (front, is_reload_requested) = match outcome {
        StartOutcome::Completed {
            result: Ok(front),
            is_reload_requested,
        } => (front, is_reload_requested),
        StartOutcome::Completed {
            result: Err(error), ..
        } => {
            eprintln!("{error}");
            return exit::CANNOT_BIND;
        }
        StartOutcome::Stopped => return exit::OK,
    };
    runtime.log("front node started");
    if is_reload_requested {
        reload(&front, startup_file);
    }
    let bounds = front.settings.bounds.clone();
    runtime.spawn(memory::watch(
        runtime.clone(),
        bounds,
        front.overload.clone(),
    ));
    let stopped = async {
        signals
            .stop_requested(|| reload(&front, startup_file))
            .await;
        front.stop().await;
        exit::OK
    };
    let replaced = async {
        front.members.replaced.wait().await;
        exit::REPLACED
    };
    futures_lite::future::or(stopped, replaced).await
}

/// Reads the startup file again and applies the settings that may change at run time.
fn reload(front: &Arc<Front>, startup_file: &str) {
    match front.settings.reload(startup_file) {
        Ok(settings) => {
            *front.members.seeds.lock().unwrap() = settings.seeds;
            front.runtime.log("startup file reloaded");
        }
        Err(error) => front
            .runtime
            .log(&format!("startup file reload refused: {error}")),
    }
}
