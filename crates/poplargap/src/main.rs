//! Entry point.

use {mimalloc::MiMalloc, std::process::ExitCode};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    poplargap::main()
}
