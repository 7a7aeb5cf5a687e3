//! Relays TCP connections through a link relay whose faults are set over HTTP.

use {
    pico_args::Arguments,
    poplargap_testbed::relay::{ControlServer, LinkRelay},
    std::{error::Error, net::SocketAddr},
};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = Arguments::from_env();
    let control: SocketAddr = arguments.value_from_str("--control")?;
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let upstream: SocketAddr = arguments.value_from_str("--upstream")?;
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}").into());
    }
    let relay = LinkRelay::start_at(listen, upstream).await?;
    let server = ControlServer::start(control, relay.control()).await?;
    println!("listening on {}", relay.address());
    println!("controlled at {}", server.address());
    tokio::signal::ctrl_c().await?;
    relay.close().await;
    server.close().await;
    Ok(())
}
