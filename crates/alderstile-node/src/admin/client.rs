//! Calls at a running node's operators' address, for the command line.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// A node answers its operators within a second; one that doesn't has other troubles.
const ANSWER: Duration = Duration::from_secs(3);

/// What a path says; an error where the node doesn't say it.
pub fn get(admin: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&admin, ANSWER)?;
    stream.set_read_timeout(Some(ANSWER))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {admin}\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::InvalidData)?;
    match head.split(' ').nth(1) {
        Some("200") => Ok(body.to_owned()),
        Some("404") => {
            Err(io::Error::other("the node is a member of no cluster (started without --cluster)"))
        }
        status => Err(io::Error::other(format!("answered {}", status.unwrap_or("nothing")))),
    }
}

/// Members as a table.
pub fn table(view: &str) -> Result<String, serde_json::Error> {
    let view: Value = serde_json::from_str(view)?;
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut table = format!("cluster {}\n", text(&view["cluster"]));
    let row = |table: &mut String, cells: [&str; 7]| {
        let [name, state, zone, address, settings, seconds, more] = cells;
        // Writing to a string can't fail.
        let _ = writeln!(
            table,
            "{name:<16} {state:<8} {zone:<12} {address:<22} {settings:<17} {seconds:>8}  {more}"
        );
    };
    row(&mut table, ["NAME", "STATE", "ZONE", "ADDRESS", "SETTINGS", "SECONDS", ""]);
    for member in view["members"].as_array().into_iter().flatten() {
        let seconds = format!("{:.1}", member["for_ms"].as_f64().unwrap_or_default() / 1e3);
        let me = if member["me"] == true { "this one" } else { "" };
        let of = |key: &str| text(&member[key]);
        let cells =
            [of("name"), of("state"), of("zone"), of("address"), of("settings"), seconds, me.to_owned()];
        row(&mut table, cells.each_ref().map(String::as_str));
    }
    for name in view["claimed"].as_array().into_iter().flatten() {
        table.push_str(&format!("two processes claim the name {}\n", text(name)));
    }
    if view["health"].as_u64().unwrap_or_default() > 0 {
        table
            .push_str(&format!("this member's own probes fail: health {} of 8, 0 is best\n", view["health"]));
    }
    Ok(table)
}
