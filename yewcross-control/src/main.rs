//! The control plane's process: runs a core or store node until a signal stops it or a newer process
//! with the same name replaces it.

use std::sync::Arc;
use yewcross_common::process;
use yewcross_common::process::data_folder::DataFolder;
use yewcross_common::process::signals::{ProcessSignals, StartOutcome};
use yewcross_common::process::{log_output, memory};
use yewcross_common::process_settings::{ProcessSettings, Role, exit};
use yewcross_common::runtime::Runtime;
use yewcross_common::runtime::os::OsRuntime;
use yewcross_control::Control;
use yewcross_control::start::StartError;

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
    log_output::install();
    let signals = ProcessSignals::install().unwrap_or_else(|error| {
        let reason = format!("cannot handle signals: {error}");
        std::process::exit(process::log_end(exit::CANNOT_BIND, &reason))
    });
    let settings = yewcross_common::process_settings::load(&flags.startup, false, flags.check);
    let runtime = OsRuntime::start_within(&settings.data, settings.threads, &settings.bounds);
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
    let role = settings.role;
    let outcome = signals.start(start(runtime, settings)).await;
    let ((control, _data_folder), is_reload_requested) = match outcome {
        StartOutcome::Completed {
            result: Ok(started),
            is_reload_requested,
        } => (started, is_reload_requested),
        StartOutcome::Completed {
            result: Err(error), ..
        } => {
            eprintln!("{error}");
            return error.exit_code();
        }
        StartOutcome::Stopped => return exit::OK,
    };
    runtime.log(if role == Role::Core {
        "core node started"
    } else {
        "store node started"
    });
    if is_reload_requested {
        reload(&control, startup_file);
    }
    let bounds = control.settings.bounds.clone();
    runtime.spawn(memory::watch(
        runtime.clone(),
        bounds,
        control.overload.clone(),
    ));
    let stopped = async {
        signals
            .stop_requested(|| reload(&control, startup_file))
            .await;
        control.stop().await;
        exit::OK
    };
    let replaced = async {
        control.members.replaced.wait().await;
        exit::REPLACED
    };
    futures_lite::future::or(stopped, replaced).await
}

/// Starts the node once no other process uses its data folder.
async fn start(
    runtime: &Runtime,
    settings: ProcessSettings,
) -> Result<(Arc<Control>, DataFolder), StartError> {
    let timeout = settings.start_timeout();
    let data_folder = DataFolder::lock(runtime, &settings.data, timeout).await?;
    let control = Control::start(runtime, settings).await?;
    Ok((control, data_folder))
}

/// Reads the startup file again and applies the settings that may change at run time.
fn reload(control: &Arc<Control>, startup_file: &str) {
    match control.settings.reload(startup_file) {
        Ok(settings) => {
            *control.members.seeds.lock().unwrap() = settings.seeds;
            *control.platform.lock().unwrap() = settings.platform;
            control.runtime.log("startup file reloaded");
        }
        Err(error) => control
            .runtime
            .log(&format!("startup file reload refused: {error}")),
    }
}
