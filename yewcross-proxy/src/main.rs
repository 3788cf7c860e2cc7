use futures_lite::StreamExt;
use yewcross_common::process_settings::exit;
use yewcross_common::runtime::os::OsRuntime;

xflags::xflags! {
    /// Data plane of the yewcross serving tier.
    cmd yewcross-front {
        /// Startup file (TOML); see docs/operating.md.
        required --startup file: String
        /// Check the startup file, print every fault, and end.
        optional --check
    }
}

fn main() {
    let a = YewcrossFront::from_env_or_exit();
    let s = yewcross_common::process_settings::load(&a.startup, true, a.check);
    let w = OsRuntime::start(".", s.threads);
    let code = smol::block_on(async {
        let f = match yewcross_proxy::Front::start(&w, s).await {
            Ok(f) => f,
            Err(e) => {
                eprintln!("{e}");
                return exit::CANNOT_BIND;
            }
        };
        w.log("front up");
        let sig = [
            async_signal::Signal::Term,
            async_signal::Signal::Int,
            async_signal::Signal::Hup,
        ];
        let Ok(mut sigs) = async_signal::Signals::new(sig) else {
            return exit::CANNOT_BIND;
        };
        let gone = async {
            f.members.replaced.wait().await;
            exit::REPLACED
        };
        let told = async {
            while let Some(Ok(x)) = sigs.next().await {
                match x {
                    async_signal::Signal::Hup => match f.settings.reload(&a.startup) {
                        Ok(n) => {
                            *f.members.seeds.lock().unwrap() = n.seeds;
                            w.log("reloaded")
                        }
                        Err(e) => w.log(&format!("reload refused: {e}")),
                    },
                    _ => break,
                }
            }
            f.stop().await;
            exit::OK
        };
        futures_lite::future::or(told, gone).await
    });
    std::process::exit(code);
}
