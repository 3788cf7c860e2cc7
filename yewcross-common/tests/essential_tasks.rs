//! Tasks without which a process cannot do its work.

use std::process::Command;
use std::time::Duration;
use yewcross_common::process_settings::exit;
use yewcross_common::runtime::os::OsRuntime;

/// Time for which the process that panics waits for its end.
const LIFETIME: Duration = Duration::from_secs(10);

/// Runs one of the ignored tests of this file in a process of its own; returns its exit code.
fn exit_code_of(test: &str) -> Option<i32> {
    let program = std::env::current_exe().unwrap();
    let arguments = ["--ignored", "--exact", test];
    let output = Command::new(program).args(arguments).output().unwrap();
    output.status.code()
}

#[test]
fn a_panic_in_an_essential_task_ends_the_process() {
    assert_eq!(
        exit_code_of("essential_task_panics"),
        Some(exit::TASK_PANICKED)
    );
}

#[test]
fn a_panic_in_another_task_does_not_end_the_process() {
    assert_eq!(exit_code_of("other_task_panics"), Some(exit::OK));
}

#[test]
#[ignore = "run by other tests in a process of its own"]
fn essential_task_panics() {
    let runtime = OsRuntime::start(".", 1);
    runtime.spawn_essential("sample", async { panic!("as intended") });
    std::thread::sleep(LIFETIME);
}

#[test]
#[ignore = "run by other tests in a process of its own"]
fn other_task_panics() {
    let runtime = OsRuntime::start(".", 1);
    runtime.spawn(async { panic!("as intended") });
    let (sender, receiver) = std::sync::mpsc::channel();
    runtime.spawn(async move { sender.send(()).unwrap() });
    receiver.recv_timeout(LIFETIME).unwrap();
}
