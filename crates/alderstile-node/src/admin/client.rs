//! A client of the admin server, for the command line.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;

/// A node answers within two seconds; one that doesn't has other faults.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The node can't be reached, or its answer is not HTTP.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The node has no such path: only members of a cluster have those that are read here.
    #[error("the node is a member of no cluster (started without --cluster)")]
    NotFound,
    /// The node answered with another status.
    #[error("answered {0}")]
    Status(u16),
}

/// An answer of the admin server.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Reads a path.
///
/// # Errors
///
/// The node can't be reached, or does not answer with 200.
pub fn get(admin: SocketAddr, path: &str) -> Result<String, CallError> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {admin}\r\nConnection: close\r\n\r\n");
    let answer = call(admin, &head, &[])?;
    match answer.status {
        200 => Ok(answer.body),
        404 => Err(CallError::NotFound),
        status => Err(CallError::Status(status)),
    }
}

/// Sends a body to a path.
///
/// # Errors
///
/// The node can't be reached, or its answer is not HTTP.
pub fn post(admin: SocketAddr, path: &str, body: &[u8]) -> io::Result<Answer> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    call(admin, &head, body)
}

fn call(admin: SocketAddr, head: &str, body: &[u8]) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&admin, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::InvalidData)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(Answer { status: status.ok_or(io::ErrorKind::InvalidData)?, body: body.to_owned() })
}

/// The members, as the admin server answers them, as a table.
///
/// # Errors
///
/// The text is not JSON.
pub fn members_table(members: &str) -> Result<String, serde_json::Error> {
    let status: Value = serde_json::from_str(members)?;
    let mut table = format!("cluster {}\n", plain(&status["cluster"]));
    add_row(&mut table, ["NAME", "STATE", "ZONE", "ADDRESS", "SETTINGS", "SECONDS", ""]);
    for member in status["members"].as_array().into_iter().flatten() {
        add_member(&mut table, member);
    }
    for name in status["claimed"].as_array().into_iter().flatten() {
        table.push_str(&format!("two processes claim the name {}\n", plain(name)));
    }
    if status["health"].as_u64().unwrap_or_default() > 0 {
        let health = &status["health"];
        table.push_str(&format!("this member's own probes fail: health {health} of 8, 0 is best\n"));
    }
    Ok(table)
}

fn add_member(table: &mut String, member: &Value) {
    let text = |key: &str| plain(&member[key]);
    let seconds = format!("{:.1}", member["for_ms"].as_f64().unwrap_or_default() / 1e3);
    let note = if member["me"] == true { "this one" } else { "" };
    let (name, state, zone) = (text("name"), text("state"), text("zone"));
    let (address, settings) = (text("address"), text("settings"));
    add_row(table, [&name, &state, &zone, &address, &settings, &seconds, note]);
}

fn add_row(table: &mut String, cells: [&str; 7]) {
    let [name, state, zone, address, settings, seconds, note] = cells;
    // Writing to a string can't fail.
    let _ =
        writeln!(table, "{name:<16} {state:<8} {zone:<12} {address:<22} {settings:<17} {seconds:>8}  {note}");
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
