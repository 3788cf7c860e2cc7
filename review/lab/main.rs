//! Stand-ins and scenarios of the review. `lab SCENARIO FOLDER` writes FOLDER/record.txt and exits
//! with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod big;
mod drain;
mod fleet;
mod net;
mod order;
mod soak;
mod stall;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = &arguments[..] else {
        fleet::give_up("usage: lab SCENARIO FOLDER");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = fleet::Record::new(&format!("{folder}/record.txt"));
    let code = match scenario.as_str() {
        "drain" => drain::run(&record, trouble),
        "order" => order::run(&record, trouble),
        "stall" => stall::run(&record, trouble),
        "big" => big::run(&record, trouble),
        "soak" => soak::run(&record, trouble),
        _ => fleet::give_up("no such scenario"),
    };
    std::process::exit(code)
}
