//! HTTP client of the admin server, used by the command line.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;

/// Timeout of a request: a working node answers within two seconds.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The node can't be reached, or its response is not HTTP.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The node does not have the path: only members of a cluster have `/members`, and only those with a
    /// replicated configuration have `/settings`.
    #[error("the node was started without --cluster, or without the table [control] that `settings` needs")]
    NotFound,
    /// The node responded with another status.
    #[error("unexpected HTTP status {0}")]
    Status(u16),
}

/// A response of the admin server.
#[derive(Debug)]
pub struct AdminResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The response body.
    pub body: String,
}

/// Sends a GET request to a path and returns the response body.
///
/// # Errors
///
/// Fails if the node can't be reached or its status is not 200.
pub fn get(admin: SocketAddr, path: &str) -> Result<String, CallError> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {admin}\r\nConnection: close\r\n\r\n");
    let response = send_request(admin, &head, &[])?;
    match response.status {
        200 => Ok(response.body),
        404 => Err(CallError::NotFound),
        status => Err(CallError::Status(status)),
    }
}

/// Sends a POST request with a body to a path and returns the response.
///
/// # Errors
///
/// Fails if the node can't be reached or its response is not HTTP.
pub fn post(admin: SocketAddr, path: &str, body: &[u8]) -> io::Result<AdminResponse> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {admin}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    send_request(admin, &head, body)
}

fn send_request(admin: SocketAddr, head: &str, body: &[u8]) -> io::Result<AdminResponse> {
    let mut stream = TcpStream::connect_timeout(&admin, REQUEST_TIMEOUT)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::InvalidData)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(AdminResponse { status: status.ok_or(io::ErrorKind::InvalidData)?, body: body.to_owned() })
}

/// Formats the members, as returned by the admin server, as a table.
///
/// # Errors
///
/// Fails if the text is not JSON.
pub fn members_table(members: &str) -> Result<String, serde_json::Error> {
    let status: Value = serde_json::from_str(members)?;
    let mut table = format!("cluster {}\n", plain_text(&status["cluster"]));
    add_row(&mut table, ["NAME", "STATE", "ZONE", "ADDRESS", "SETTINGS", "SECONDS", ""]);
    for member in status["members"].as_array().into_iter().flatten() {
        add_member(&mut table, member);
    }
    for name in status["claimed"].as_array().into_iter().flatten() {
        table.push_str(&format!("name conflict: two processes use the name {}\n", plain_text(name)));
    }
    if status["health"].as_u64().unwrap_or_default() > 0 {
        let health = &status["health"];
        table.push_str(&format!("local health {health} of 8 (0 is best): probes sent by this member fail\n"));
    }
    Ok(table)
}

fn add_member(table: &mut String, member: &Value) {
    let text = |key: &str| plain_text(&member[key]);
    let seconds = format!("{:.1}", member["for_ms"].as_f64().unwrap_or_default() / 1e3);
    let note = if member["me"] == true { "this one" } else { "" };
    let (name, state, zone) = (text("name"), text("state"), text("zone"));
    let (address, settings) = (text("address"), text("settings"));
    add_row(table, [&name, &state, &zone, &address, &settings, &seconds, note]);
}

fn add_row(table: &mut String, cells: [&str; 7]) {
    let [name, state, zone, address, settings, seconds, note] = cells;
    // Writing to a `String` never fails.
    let _ =
        writeln!(table, "{name:<16} {state:<8} {zone:<12} {address:<22} {settings:<17} {seconds:>8}  {note}");
}

fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
