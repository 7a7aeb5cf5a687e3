//! Entry point of the daemon.

use {
    mimalloc::MiMalloc,
    std::{env, process::ExitCode},
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    poplargapd::run::run(env::args_os().skip(1).collect())
}
