//! Runs the store stand-in until the process is interrupted.

use {
    pico_args::Arguments,
    poplargap_testbed::store::StoreStandIn,
    std::{error::Error, net::SocketAddr},
};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = Arguments::from_env();
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}; usage: store --listen ADDRESS").into());
    }
    let store = StoreStandIn::start(listen).await?;
    println!("listening on {}", store.address());
    tokio::signal::ctrl_c().await?;
    store.close().await;
    Ok(())
}
