//! The control plane's process: runs a core or store node until a signal stops it or a newer process
//! with the same name replaces it.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::sync::Arc;
use yewcross_common::process_settings::{ProcessSettings, Role, exit};
use yewcross_common::runtime::Runtime;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_control::Control;

xflags::xflags! {
    /// Control plane of the yewcross serving tier.
    cmd yewcross-control {
        /// Startup file (TOML); see docs/operating.md.
        required --startup file: String
        /// Check the startup file, print every error, and exit.
        optional --check
    }
}

fn main() {
    let flags = YewcrossControl::from_env_or_exit();
    let settings = yewcross_common::process_settings::load(&flags.startup, false, flags.check);
    if let Err(error) = std::fs::create_dir_all(&settings.data) {
        eprintln!("cannot create the data folder {}: {error}", settings.data);
        std::process::exit(exit::BAD_DISK);
    }
    let runtime = OsRuntime::start(&settings.data, settings.threads);
    let exit_code = smol::block_on(run(&runtime, settings, &flags.startup));
    std::process::exit(exit_code);
}

/// Runs the node until it stops and returns the exit code.
async fn run(runtime: &Runtime, settings: ProcessSettings, startup_file: &str) -> i32 {
    let role = settings.role;
    let control = match Control::start(runtime, settings).await {
        Ok(control) => control,
        Err(error) => {
            eprintln!("{error}");
            return error.exit_code();
        }
    };
    runtime.log(if role == Role::Core {
        "core node started"
    } else {
        "store node started"
    });
    let Ok(mut signals) = Signals::new([Signal::Term, Signal::Int, Signal::Hup]) else {
        return exit::CANNOT_BIND;
    };
    let stopped = async {
        reload_until_stopped(runtime, &control, &mut signals, startup_file).await;
        control.stop().await;
        exit::OK
    };
    let replaced = async {
        control.members.replaced.wait().await;
        exit::REPLACED
    };
    futures_lite::future::or(stopped, replaced).await
}

/// Reloads the startup file on each SIGHUP; returns on any other signal.
async fn reload_until_stopped(
    runtime: &Runtime,
    control: &Arc<Control>,
    signals: &mut Signals,
    startup_file: &str,
) {
    while let Some(Ok(Signal::Hup)) = signals.next().await {
        match control.settings.reload(startup_file) {
            Ok(settings) => {
                *control.members.seeds.lock().unwrap() = settings.seeds;
                *control.platform.lock().unwrap() = settings.platform;
                runtime.log("startup file reloaded");
            }
            Err(error) => runtime.log(&format!("startup file reload refused: {error}")),
        }
    }
}
