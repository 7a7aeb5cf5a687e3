//! The cases of the review: each starts a small deployment, sends requests and checks one rule.

mod case_crash;
mod case_desk;
mod case_memory;
mod case_notice;
mod client;
mod http;
mod json;
mod record;
mod replica;
mod site;
mod store;

use std::{env, path::Path};

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    if let ["replica", rest @ ..] = &words[..] {
        return case_crash::run_replica(rest);
    }
    let [case, record_path, rest @ ..] = &words[..] else {
        eprintln!("usage: harness CASE RECORD");
        std::process::exit(2);
    };
    record::open(Path::new(record_path));
    let broken = match *case {
        "crash" => case_crash::run(rest),
        "desk" => case_desk::run(),
        "memory" => case_memory::run(),
        "notice" => case_notice::run(rest),
        _ => site::fail("unknown case"),
    };
    record::tell(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    site::finish(i32::from(broken));
}
