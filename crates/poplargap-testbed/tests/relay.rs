//! Tests of the TCP and UDP relays with their faults.

use {
    poplargap_testbed::relay::{ControlServer, DatagramRelay, LinkFaults, LinkRelay},
    reqwest::Client,
    std::{
        io::{self, ErrorKind},
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
        time::{Instant, timeout},
    },
};

/// Time without data after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a TCP server that returns all bytes that it receives.
async fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

async fn start_relay() -> LinkRelay {
    LinkRelay::start(start_echo().await).await.unwrap()
}

/// Sends one byte and reads one back.
async fn echo(stream: &mut TcpStream) -> io::Result<u8> {
    stream.write_all(&[7]).await?;
    stream.read_u8().await
}

#[tokio::test]
async fn bytes_and_the_end_of_the_stream_are_forwarded_both_ways() {
    let relay = start_relay().await;
    let sent: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let write = async {
        writer.write_all(&sent).await?;
        writer.shutdown().await
    };
    let mut received = Vec::new();
    let read = reader.read_to_end(&mut received);
    tokio::try_join!(write, read).unwrap();
    assert!(received == sent);
    relay.close().await;
}

#[tokio::test]
async fn cut_link_resets_and_refuses_connections_until_cleared() {
    let relay = start_relay().await;
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap(), 7);
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    relay.set_faults(cut).await;
    assert_eq!(
        stream.read_u8().await.unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
    let refused = TcpStream::connect(relay.address()).await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    relay.set_faults(LinkFaults::default()).await;
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap(), 7);
    relay.close().await;
}

#[tokio::test]
async fn delay_applies_in_each_direction() {
    let relay = start_relay().await;
    let delayed = LinkFaults {
        delay_ms: 40,
        ..LinkFaults::default()
    };
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    relay.set_faults(delayed).await;
    let started_at = Instant::now();
    echo(&mut stream).await.unwrap();
    assert!(started_at.elapsed() >= Duration::from_millis(80));
    relay.close().await;
}

#[tokio::test]
async fn bandwidth_bounds_each_direction() {
    let relay = start_relay().await;
    let narrow = LinkFaults {
        bytes_per_s: 10,
        ..LinkFaults::default()
    };
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    relay.set_faults(narrow).await;
    let started_at = Instant::now();
    echo(&mut stream).await.unwrap();
    // A byte takes a tenth of a second there, and another one back.
    assert!(started_at.elapsed() >= Duration::from_millis(200));
    relay.close().await;
}

#[tokio::test]
async fn lost_chunks_stall() {
    let relay = start_relay().await;
    let stalled = LinkFaults {
        seed: 1,
        stall_ms: 30,
        loss_percent: 20,
        ..LinkFaults::default()
    };
    relay.set_faults(stalled).await;
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    let mut slow = 0;
    for _ in 0..40 {
        let started_at = Instant::now();
        echo(&mut stream).await.unwrap();
        slow += u32::from(started_at.elapsed() >= Duration::from_millis(30));
    }
    assert!((4..=30).contains(&slow), "{slow} of 40 stalled");
    relay.close().await;
}

#[tokio::test]
async fn silence_affects_open_connections_only() {
    let relay = start_relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut old).await.unwrap(), 7);
    relay.silence().await;
    timeout(SILENCE_TIMEOUT, echo(&mut old)).await.unwrap_err();
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut new).await.unwrap(), 7);
    timeout(SILENCE_TIMEOUT, old.read_u8()).await.unwrap_err();
    relay.close().await;
    old.read_u8().await.unwrap_err();
}

#[tokio::test]
async fn port_in_use_is_an_error() {
    let relay = start_relay().await;
    let second = LinkRelay::start_at(relay.address(), relay.address()).await;
    assert_eq!(second.unwrap_err().kind(), ErrorKind::AddrInUse);
    relay.close().await;
}

#[tokio::test]
async fn faults_are_set_over_http() {
    let relay = start_relay().await;
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = ControlServer::start(any_port, relay.control())
        .await
        .unwrap();
    let url = format!("http://{}/faults", server.address());
    let http = Client::builder().no_proxy().build().unwrap();
    let cut = LinkFaults {
        cut: true,
        ..LinkFaults::default()
    };
    let set = http.post(&url).json(&cut).send().await.unwrap();
    assert!(set.status().is_success());
    TcpStream::connect(relay.address()).await.unwrap_err();
    http.delete(&url).send().await.unwrap();
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap(), 7);
    relay.close().await;
    server.close().await;
}

#[tokio::test]
async fn datagrams_are_dropped_by_loss_and_silence() {
    let echo = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let relay = DatagramRelay::start(echo.local_addr().unwrap())
        .await
        .unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 8];
        while let Ok((len, sender)) = echo.recv_from(&mut buffer).await {
            echo.send_to(&buffer[..len], sender).await.unwrap();
        }
    });
    let old = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    assert_eq!(count_echoes(&old, relay.address(), 20).await, 20);
    let lossy = LinkFaults {
        loss_percent: 30,
        ..LinkFaults::default()
    };
    relay.set_faults(lossy).await;
    let echoes = count_echoes(&old, relay.address(), 100).await;
    assert!((25..=75).contains(&echoes), "{echoes} of 100 came back");
    relay.set_faults(LinkFaults::default()).await;
    relay.silence().await;
    assert_eq!(count_echoes(&old, relay.address(), 5).await, 0);
    let new = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    assert_eq!(count_echoes(&new, relay.address(), 5).await, 5);
    relay.close().await;
}

/// Sends datagrams and returns how many come back.
async fn count_echoes(socket: &UdpSocket, relay: SocketAddr, sent: usize) -> usize {
    for _ in 0..sent {
        socket.send_to(&[7], relay).await.unwrap();
    }
    let mut count = 0;
    while count < sent
        && timeout(SILENCE_TIMEOUT, socket.recv_from(&mut [0; 8]))
            .await
            .is_ok()
    {
        count += 1;
    }
    count
}
