//! Forwards one direction of a relayed connection.

use {
    super::LinkFaults,
    bytes::Bytes,
    rand_chacha::ChaCha8Rng,
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::tcp::{ReadHalf, WriteHalf},
        sync::{mpsc, watch},
        time::{Instant, sleep_until},
    },
};

/// Maximum number of bytes in one chunk, which is delayed or stalled as a whole.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum number of delayed chunks; the relay then stops reading.
const CHUNKS_IN_FLIGHT_MAX: usize = 64;

#[derive(Debug)]
struct DelayedChunk {
    bytes: Bytes,
    due_at: Instant,
}

/// Forwards bytes under the link's faults until the source closes its side, then closes the
/// destination's.
pub(super) async fn pump(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    faults: watch::Receiver<LinkFaults>,
    rng: ChaCha8Rng,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT_MAX);
    tokio::try_join!(
        read_chunks(reader, sender, faults, rng),
        write_chunks(receiver, writer)
    )?;
    Ok(())
}

async fn read_chunks(
    mut reader: ReadHalf<'_>,
    sender: mpsc::Sender<DelayedChunk>,
    faults: watch::Receiver<LinkFaults>,
    mut rng: ChaCha8Rng,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut last_due_at = Instant::now();
    loop {
        let len = reader.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let faults = *faults.borrow();
        let sent_at = Instant::now().max(last_due_at) + faults.transfer(len);
        let due_at = due_at(faults, &mut rng).max(sent_at);
        last_due_at = due_at;
        let bytes = Bytes::copy_from_slice(&buffer[..len]);
        if sender.send(DelayedChunk { bytes, due_at }).await.is_err() {
            return Ok(());
        }
    }
}

fn due_at(faults: LinkFaults, rng: &mut ChaCha8Rng) -> Instant {
    let due_at = Instant::now() + faults.delay();
    if faults.draw_loss(rng) {
        due_at + faults.stall()
    } else {
        due_at
    }
}

async fn write_chunks(
    mut receiver: mpsc::Receiver<DelayedChunk>,
    mut writer: WriteHalf<'_>,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        if chunk.due_at > Instant::now() {
            sleep_until(chunk.due_at).await;
        }
        writer.write_all(&chunk.bytes).await?;
    }
    writer.shutdown().await
}
