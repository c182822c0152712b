//! One control frame to a running dispatcher, and its answer.
use pointspindle_protocol::streams::Side;
use pointspindle_protocol::{AckHead, EndpointListHead, Frame};
use pointspindle_transport::{ConnectionOptions, FramedConnection, Inbound};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time for a dispatcher to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a dispatcher has not done what it was sent.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// It cannot be reached.
    #[error("{address}: {reason}")]
    Connection {
        /// Its control address.
        address: SocketAddr,
        /// What the system or the connection says.
        reason: String,
    },
    /// It has closed the connection in place of an answer.
    #[error("{0}: the dispatcher closed the connection")]
    Closed(SocketAddr),
    /// Nothing came in time.
    #[error("{0}: no answer in {} s", ANSWER_TIMEOUT.as_secs())]
    Timeout(SocketAddr),
    /// It has rejected the change.
    #[error("{address}: {reason}")]
    Rejected {
        /// Its control address.
        address: SocketAddr,
        /// What it says.
        reason: String,
    },
    /// Another frame came than the one that answers.
    #[error("{address}: not {expected}: {frame:?}")]
    UnexpectedFrame {
        /// Its control address.
        address: SocketAddr,
        /// What should have come.
        expected: &'static str,
        /// What has come.
        frame: Box<Frame>,
    },
}

/// Sends a control frame and waits for the answer to it.
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
        let answer = incoming.next().await;
        connection.close("asked");
        match answer {
            Some(Inbound::Control(frame)) => Ok(frame),
            _ => Err(ControlError::Closed(address)),
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(ControlError::Timeout(address)))
}

/// The endpoint list that a dispatcher has.
pub async fn endpoint_list(address: SocketAddr) -> Result<EndpointListHead, ControlError> {
    match exchange(address, Frame::EndpointList(EndpointListHead::default())).await? {
        Frame::EndpointList(list) => Ok(list),
        frame => Err(ControlError::UnexpectedFrame {
            address,
            expected: "a list",
            frame: Box::new(frame),
        }),
    }
}

/// Sends a change; returns once the dispatcher has acknowledged it.
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
