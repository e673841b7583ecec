//! Connections of the HTTP client that bound how late the bytes of a request can arrive.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::sync::Once;
use std::time::{Duration, Instant};

use rustix::io::Errno;
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Error, Timeout};

#[cfg(test)]
mod tests;

/// Opens connections that are closed with a reset and whose kernel gives up unacknowledged bytes.
/// The library's own connector gives no access to its sockets.
#[derive(Debug)]
pub(super) struct ResettingConnector {
    /// Time after which the kernel gives up bytes that the peer has not acknowledged.
    pub(super) unacknowledged_timeout: Duration,
}

impl Connector for ResettingConnector {
    type Out = ResettingTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        // The client resolves each host to one address.
        let address = details.addrs.first().ok_or(Error::HostNotFound)?;
        // A connection that is not established has sent nothing, whichever timeout ended it.
        let timed_out = || Error::Timeout(Timeout::Connect);
        let remaining = TimeLimit::new(details.timeout)
            .remaining()
            .map_err(|_| timed_out())?;
        let connected = match remaining {
            Some(remaining) => TcpStream::connect_timeout(address, remaining),
            None => TcpStream::connect(address),
        };
        let stream = connected.map_err(|error| match error.kind() {
            ErrorKind::TimedOut => timed_out(),
            _ => Error::Io(error),
        })?;
        bound_lateness(&stream, self.unacknowledged_timeout);
        if details.config.no_delay() {
            stream.set_nodelay(true)?;
        }
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(ResettingTransport { stream, buffers }))
    }
}

/// Sets the options of a connected socket. They are set at once, so that they also hold when the
/// process is killed or paused. A socket that refuses them still carries calls.
fn bound_lateness(socket: impl AsFd, unacknowledged_timeout: Duration) {
    static LINGER_FAILURE: Once = Once::new();
    static TIMEOUT_FAILURE: Once = Once::new();
    let linger = set_socket_linger(&socket, Some(Duration::ZERO));
    log_first_failure(&LINGER_FAILURE, "SO_LINGER", linger);
    let timeout_ms = u32::try_from(unacknowledged_timeout.as_millis()).unwrap_or(u32::MAX);
    let timeout = set_tcp_user_timeout(&socket, timeout_ms);
    log_first_failure(&TIMEOUT_FAILURE, "TCP_USER_TIMEOUT", timeout);
}

fn log_first_failure(logged: &Once, option: &str, result: Result<(), Errno>) {
    if let Err(error) = result {
        logged.call_once(|| {
            log::warn!(option, error:%; "requests may arrive late: cannot set a socket option");
        });
    }
}

/// End of a read or write.
struct TimeLimit {
    ends_at: Option<Instant>,
    /// What the library reports when the time is over.
    reason: Timeout,
}

impl TimeLimit {
    fn new(timeout: NextTimeout) -> Self {
        // The largest duration, which stands for no timeout, has no instant.
        Self {
            ends_at: Instant::now().checked_add(*timeout.after),
            reason: timeout.reason,
        }
    }

    /// Returns the time that is left, `None` for no limit.
    fn remaining(&self) -> Result<Option<Duration>, Error> {
        let Some(ends_at) = self.ends_at else {
            return Ok(None);
        };
        match ends_at.saturating_duration_since(Instant::now()) {
            Duration::ZERO => Err(Error::Timeout(self.reason)),
            remaining => Ok(Some(remaining)),
        }
    }
}

/// Connection with buffers for the HTTP library.
pub(super) struct ResettingTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl std::fmt::Debug for ResettingTransport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let stream = &self.stream;
        formatter
            .debug_struct("ResettingTransport")
            .field("stream", stream)
            .finish_non_exhaustive()
    }
}

/// Repeats a read or write that a signal interrupted or whose socket timeout ended early, until it
/// succeeds, fails or its time is over.
fn retry_until(
    limit: &TimeLimit,
    mut attempt: impl FnMut(Option<Duration>) -> io::Result<usize>,
) -> Result<usize, Error> {
    loop {
        match attempt(limit.remaining()?) {
            Err(error)
                if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => {}
            result => return Ok(result?),
        }
    }
}

impl Transport for ResettingTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let limit = TimeLimit::new(timeout.for_write());
        let mut unsent = &self.buffers.output()[..amount];
        while !unsent.is_empty() {
            let mut stream = &self.stream;
            let sent = retry_until(&limit, |remaining| {
                stream.set_write_timeout(remaining)?;
                stream.write(unsent)
            })?;
            if sent == 0 {
                return Err(Error::Io(ErrorKind::WriteZero.into()));
            }
            unsent = &unsent[sent..];
        }
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let limit = TimeLimit::new(timeout.for_read());
        let mut stream = &self.stream;
        let input = self.buffers.input_append_buf();
        let received = retry_until(&limit, |remaining| {
            stream.set_read_timeout(remaining)?;
            stream.read(input)
        })?;
        self.buffers.input_appended(received);
        Ok(received > 0)
    }

    /// Returns whether an idle connection can be reused: the peer has neither closed it nor sent
    /// anything.
    fn is_open(&mut self) -> bool {
        let mut stream = &self.stream;
        let mut idle = || -> io::Result<bool> {
            stream.set_nonblocking(true)?;
            let received = stream.read(&mut [0]);
            stream.set_nonblocking(false)?;
            Ok(matches!(received, Err(error) if error.kind() == ErrorKind::WouldBlock))
        };
        idle().unwrap_or(false)
    }
}
