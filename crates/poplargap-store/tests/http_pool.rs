//! Tests of the HTTP pool against answers that come slowly, stall or don't end.

use {
    poplargap_store::{HttpPool, StoreCounters, StoreError},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::{Instant, sleep},
    },
};

const TIMEOUT: Duration = Duration::from_millis(400);

/// Serves one connection: sends `head`, then `chunks` times `chunk` with a pause before each.
async fn serve(head: String, chunk: Vec<u8>, chunks: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the port is known");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..chunks {
            sleep(pause).await;
            if stream.write_all(&chunk).await.is_err() {
                return;
            }
        }
        sleep(Duration::from_secs(30)).await;
    });
    address
}

async fn get(address: SocketAddr) -> (Result<usize, StoreError>, Duration) {
    let pool = HttpPool::new(address, "store", TIMEOUT, StoreCounters::new()).expect("a pool");
    let began = Instant::now();
    let url = pool.url("/");
    let answer = pool.send(Duration::ZERO, |client| client.get(url)).await;
    (answer.map(|answer| answer.body.len()), began.elapsed())
}

fn head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

/// A listing of a large configuration takes longer than the timeout over the link of a small VM.
#[tokio::test]
async fn long_answer_that_makes_progress_is_read_whole() {
    let pause = Duration::from_millis(100);
    let address = serve(head(8_000), vec![b'x'; 1_000], 8, pause).await;
    let (answer, took) = get(address).await;
    assert_eq!(answer, Ok(8_000));
    assert!(took > TIMEOUT);
}

#[tokio::test]
async fn answer_that_stalls_fails_after_the_timeout() {
    let address = serve(head(8_000), vec![b'x'; 1_000], 3, Duration::ZERO).await;
    let (answer, took) = get(address).await;
    assert!(matches!(answer, Err(StoreError::NoAnswer(_))), "{answer:?}");
    assert!(took < TIMEOUT * 2);
}

#[tokio::test]
async fn endless_answer_fails_within_a_bound_of_time() {
    let head = "HTTP/1.1 200 OK\r\n\r\n".to_owned();
    let pause = Duration::from_millis(50);
    let address = serve(head, vec![b'x'; 10], 1_000, pause).await;
    let (answer, took) = get(address).await;
    assert!(matches!(answer, Err(StoreError::NoAnswer(_))), "{answer:?}");
    assert!(took < TIMEOUT * 6);
}

#[tokio::test]
async fn endless_answer_fails_within_a_bound_of_bytes() {
    let head = "HTTP/1.1 200 OK\r\n\r\n".to_owned();
    let address = serve(head, vec![b'x'; 1024 * 1024], 1_000, Duration::ZERO).await;
    let (answer, _) = get(address).await;
    let Err(StoreError::NoAnswer(reason)) = answer else {
        panic!("the answer doesn't fail: {answer:?}");
    };
    assert!(reason.contains("too long"), "{reason}");
}
