//! TCP stream that can be silenced or cut.

use {
    super::ConnectionHandle,
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A TCP stream whose faults a [`ConnectionHandle`] controls.
///
/// A silent stream discards writes and never returns from a read or a shutdown, as if the network
/// dropped all packets. A cut stream fails with `ConnectionReset`.
#[derive(Debug)]
pub struct GatedStream {
    handle: ConnectionHandle,
    inner: TcpStream,
}

impl GatedStream {
    /// Wraps `inner`, with `handle` to control its faults.
    #[must_use]
    pub fn new(inner: TcpStream, handle: ConnectionHandle) -> Self {
        Self { handle, inner }
    }

    fn check_cut(&self) -> io::Result<()> {
        if self.handle.is_cut() {
            Err(io::ErrorKind::ConnectionReset.into())
        } else {
            Ok(())
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.handle.is_silent() {
            return Poll::Pending;
        }
        self.check_cut()?;
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.handle.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        self.check_cut()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.handle.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
