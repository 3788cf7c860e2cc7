//! The process of a data-plane node: reads its startup file, serves until a signal stops it, and
//! reloads the file on SIGHUP.

use futures_lite::StreamExt;
use yewcross_common::process_settings::exit;
use yewcross_common::runtime::os::OsRuntime;

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
    let arguments = YewcrossFront::from_env_or_exit();
    let settings =
        yewcross_common::process_settings::load(&arguments.startup, true, arguments.check);
    let runtime = OsRuntime::start(".", settings.threads);
    let code = smol::block_on(async {
        let front = match yewcross_proxy::Front::start(&runtime, settings).await {
            Ok(front) => front,
            Err(error) => {
                eprintln!("{error}");
                return exit::CANNOT_BIND;
            }
        };
        runtime.log("front node started");
        let handled_signals = [
            async_signal::Signal::Term,
            async_signal::Signal::Int,
            async_signal::Signal::Hup,
        ];
        let Ok(mut signals) = async_signal::Signals::new(handled_signals) else {
            return exit::CANNOT_BIND;
        };
        let replaced = async {
            front.members.replaced.wait().await;
            exit::REPLACED
        };
        let stopped = async {
            while let Some(Ok(signal)) = signals.next().await {
                match signal {
                    async_signal::Signal::Hup => match front.settings.reload(&arguments.startup) {
                        Ok(new_settings) => {
                            *front.members.seeds.lock().unwrap() = new_settings.seeds;
                            runtime.log("startup file reloaded")
                        }
                        Err(error) => runtime.log(&format!("startup file reload refused: {error}")),
                    },
                    _ => break,
                }
            }
            front.stop().await;
            exit::OK
        };
        futures_lite::future::or(stopped, replaced).await
    });
    std::process::exit(code);
}
