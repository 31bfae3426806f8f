//! The operator's end of agreed settings: calls to a running node.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use thiserror::Error;

use crate::admin::client;
use crate::control::replicated_config::Shown;

/// A node answers an operator within two seconds.
const ANSWER: Duration = Duration::from_secs(3);
/// A proposal of which nothing was heard is put up again so often: it is the same one.
const AGAIN: usize = 5;

/// Why a call came to nothing.
#[derive(Debug, Error)]
pub enum CallError {
    /// The document is turned down, and changes nothing.
    #[error("{0}")]
    Refused(String),
    /// Nothing was heard of the proposal.
    #[error("no word from a leader: it may still be agreed on; look at `alderstile settings show`")]
    Open,
    /// The node can't be called.
    #[error("{0}: {1}")]
    Io(SocketAddr, io::Error),
}

/// What a node says of agreed settings.
pub fn show(admin: SocketAddr) -> Result<Shown, CallError> {
    let text = client::get(admin, "/settings").map_err(|error| CallError::Io(admin, error))?;
    serde_json::from_str(&text).map_err(|error| CallError::Io(admin, error.into()))
}

/// Proposes a document as the version after `expect`; returns its version.
pub fn propose(admin: SocketAddr, expect: u64, document: &[u8]) -> Result<u64, CallError> {
    for _ in 0..AGAIN {
        let (status, body) = post(admin, &format!("/settings/after/{expect}"), document)
            .map_err(|error| CallError::Io(admin, error))?;
        match status {
            200 => {
                let version = body.trim().parse();
                return version.map_err(|_| CallError::Io(admin, io::ErrorKind::InvalidData.into()));
            }
            202 => {}
            409 | 413 => return Err(CallError::Refused(body.trim().to_owned())),
            404 => {
                let what = "the node goes by its own file (no [control] in its cluster's file)";
                return Err(CallError::Io(admin, io::Error::other(what)));
            }
            status => return Err(CallError::Io(admin, io::Error::other(format!("answered {status}")))),
        }
    }
    Err(CallError::Open)
}

fn post(admin: SocketAddr, path: &str, body: &[u8]) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&admin, ANSWER)?;
    stream.set_read_timeout(Some(ANSWER))?;
    let length = body.len();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    )?;
    stream.write_all(body)?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::InvalidData)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, body.to_owned()))
}
