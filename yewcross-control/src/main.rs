use futures_lite::StreamExt;
use yewcross_common::process_settings::{Role, exit};
use yewcross_common::runtime::os::OsRuntime;

xflags::xflags! {
    /// Control plane of the yewcross serving tier.
    cmd yewcross-control {
        /// Startup file (TOML); see docs/operating.md.
        required --startup file: String
        /// Check the startup file, print every fault, and end.
        optional --check
    }
}

fn main() {
    let f = YewcrossControl::from_env_or_exit();
    let s = yewcross_common::process_settings::load(&f.startup, false, f.check);
    if let Err(e) = std::fs::create_dir_all(&s.data) {
        eprintln!("data {}: {e}", s.data);
        std::process::exit(exit::BAD_DISK);
    }
    let w = OsRuntime::start(&s.data, s.threads);
    let code = smol::block_on(async {
        let role = s.role;
        let c = match yewcross_control::Control::start(&w, s).await {
            Ok(c) => c,
            Err(e) => {
                eprintln!("{e}");
                return if matches!(e, yewcross_control::StartFault::Bind { .. }) {
                    exit::CANNOT_BIND
                } else {
                    exit::BAD_DISK
                };
            }
        };
        w.log(if role == Role::Core {
            "core up"
        } else {
            "store up"
        });
        let sig = [
            async_signal::Signal::Term,
            async_signal::Signal::Int,
            async_signal::Signal::Hup,
        ];
        let Ok(mut sigs) = async_signal::Signals::new(sig) else {
            return exit::CANNOT_BIND;
        };
        let gone = async {
            c.members.replaced.wait().await;
            exit::REPLACED
        };
        let told = async {
            while let Some(Ok(x)) = sigs.next().await {
                match x {
                    async_signal::Signal::Hup => match c.settings.reload(&f.startup) {
                        Ok(n) => {
                            *c.members.seeds.lock().unwrap() = n.seeds;
                            *c.platform.lock().unwrap() = n.platform;
                            w.log("reloaded")
                        }
                        Err(e) => w.log(&format!("reload refused: {e}")),
                    },
                    _ => break,
                }
            }
            c.stop().await;
            exit::OK
        };
        futures_lite::future::or(told, gone).await
    });
    std::process::exit(code);
}
