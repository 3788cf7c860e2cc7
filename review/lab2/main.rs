//! Scripts of the review: each case starts the tier's own programs and stand-ins, and checks one rule.

mod fleet;
mod header_limit;
mod http;
mod late_start;
mod long_chain;
mod long_talk;
mod servers;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::args()
        .nth(2)
        .unwrap_or_else(|| "record.txt".into());
    let is_disturbed = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = fleet::Record::create(&path);
    let run = match case.as_str() {
        "header_limit" => header_limit::run,
        "late_start" => late_start::run,
        "long_chain" => long_chain::run,
        "long_talk" => long_talk::run,
        _ => {
            eprintln!("unknown case {case}");
            std::process::exit(2);
        }
    };
    let code = std::panic::catch_unwind(|| run(&record, is_disturbed)).unwrap_or(2);
    fleet::end_all();
    std::process::exit(code);
}
