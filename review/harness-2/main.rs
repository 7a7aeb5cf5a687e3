//! Cases of the second review: `cases NAME ROOT RECORD`.

#![allow(dead_code)]

mod case_crash;
mod case_extra;
mod case_gone;
mod case_order;
mod case_storm;
mod fleet;
mod json;
mod replica;
mod store;
mod wire;

use std::{env, path::PathBuf, process, thread, time::Duration};

/// Longest time of a case.
const TIME_MAX: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [name, id, address] = arguments.as_slice()
        && (name == "replica" || name == "reader")
    {
        fleet::end_with_parent();
        process::exit(match name.as_str() {
            "reader" => case_gone::run_replica(id, address),
            _ => case_crash::run_replica(id, address),
        });
    }
    let [name, root, path] = arguments.as_slice() else {
        println!("usage: cases NAME ROOT RECORD");
        process::exit(2);
    };
    let (root, path) = (PathBuf::from(root), PathBuf::from(path));
    let record = fleet::Record::create(&path);
    let (name, watched) = (name.clone(), record.clone());
    let case = thread::spawn(move || match name.as_str() {
        "crash" => case_crash::run(&root, &record),
        "extra" => case_extra::run(&root, &record),
        "gone" => case_gone::run(&root, &record),
        "order" => case_order::run(&root, &record),
        "storm" => case_storm::run(&root, &record),
        _ => 2,
    });
    let began = std::time::Instant::now();
    while !case.is_finished() && began.elapsed() < TIME_MAX {
        thread::sleep(Duration::from_millis(50));
    }
    if !case.is_finished() {
        watched.say("the case took too long");
        fleet::end_all();
        process::exit(2);
    }
    let verdict = case.join().unwrap_or(2);
    fleet::end_all();
    process::exit(verdict);
}
