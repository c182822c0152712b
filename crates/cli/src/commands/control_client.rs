//! Control requests to a running dispatcher: one control frame and the response to it.
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{AckHead, EndpointListHead, Frame};
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum time for a dispatcher to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Reason for which a control request failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The connection to the dispatcher failed.
    #[error("{address}: connection failed: {reason}")]
    Connection {
        /// Control address of the dispatcher.
        address: SocketAddr,
        /// Error of the operating system or of the connection.
        reason: String,
    },
    /// The dispatcher closed the connection without a response.
    #[error("{0}: the dispatcher closed the connection without a response")]
    Closed(SocketAddr),
    /// The response did not arrive within the timeout.
    #[error("{0}: no response within {} s", RESPONSE_TIMEOUT.as_secs())]
    Timeout(SocketAddr),
    /// The dispatcher rejected the change.
    #[error("{address}: change rejected: {reason}")]
    Rejected {
        /// Control address of the dispatcher.
        address: SocketAddr,
        /// Reason given by the dispatcher.
        reason: String,
    },
    /// The dispatcher responded with a frame of another type.
    #[error("{address}: expected {expected}, got {frame:?}")]
    UnexpectedFrame {
        /// Control address of the dispatcher.
        address: SocketAddr,
        /// Description of the expected frame.
        expected: &'static str,
        /// The received frame.
        frame: Box<Frame>,
    },
}

/// Sends a control frame and returns the response.
async fn exchange(address: SocketAddr, frame: Frame) -> Result<Frame, ControlError> {
    let exchange = async {
        let failed = |error: &dyn std::fmt::Display| ControlError::Connection {
            address,
            reason: error.to_string(),
        };
        let socket = TcpStream::connect(address).await.map_err(|e| failed(&e))?;
        let (connection, mut incoming) =
            FramedConnection::start(socket, Side::Caller, ConnectionOptions::default());
        connection.control(frame).await.map_err(|e| failed(&e))?;
        let response = incoming.next().await;
        connection.close("asked");
        match response {
            Some(Inbound::Control(frame)) => Ok(frame),
            _ => Err(ControlError::Closed(address)),
        }
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(ControlError::Timeout(address)))
}

/// Returns the endpoint list of a dispatcher.
pub async fn endpoint_list(address: SocketAddr) -> Result<EndpointListHead, ControlError> {
    match exchange(address, Frame::EndpointList(EndpointListHead::default())).await? {
        Frame::EndpointList(list) => Ok(list),
        frame => Err(ControlError::UnexpectedFrame {
            address,
            expected: "an endpoint list",
            frame: Box::new(frame),
        }),
    }
}

/// Sends a change and returns once the dispatcher has acknowledged it.
pub async fn apply(address: SocketAddr, change: Frame) -> Result<(), ControlError> {
    match exchange(address, change).await? {
        Frame::Ack(AckHead { rejection, .. }) if rejection.is_empty() => Ok(()),
        Frame::Ack(AckHead { rejection, .. }) => Err(ControlError::Rejected {
            address,
            reason: rejection,
        }),
        frame => Err(ControlError::UnexpectedFrame {
            address,
            expected: "an acknowledgement",
            frame: Box::new(frame),
        }),
    }
}
