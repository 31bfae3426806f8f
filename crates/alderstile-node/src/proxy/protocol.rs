//! The lines that clients, the front and hosts speak. Pure: bytes in, words out.

use winnow::Parser;
use winnow::ascii::dec_uint;
use winnow::combinator::{alt, eof, opt, preceded, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{rest, take_while};

/// The longest wait that a client may name: 32 bits of milliseconds, 49 days; absurd figures are no deadline.
const LONGEST_WAIT_MS: u64 = u32::MAX as u64;

type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// What a client's side says first.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientLine<'a> {
    /// The front asks whether this node can serve.
    Ping,
    /// A client asks for a host.
    Open(Open<'a>),
}

/// The first line of a client's connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Open<'a> {
    /// The connection's id, new each time.
    pub id: &'a [u8],
    /// The flow's key.
    pub key: &'a [u8],
    /// `c`: the class by its name.
    pub class: &'a [u8],
    /// `d`: how long the client waits, in milliseconds.
    pub wait_ms: u64,
    /// `g`: the client or its group.
    pub group: Option<&'a [u8]>,
    /// `at`: the host where the connection was open before the run.
    pub at: Option<&'a [u8]>,
    /// `h`: a guess at the load.
    pub hint: Option<f64>,
    /// Where the value of `d` stands in the line.
    wait_at: std::ops::Range<usize>,
}

impl Open<'_> {
    /// The line as it goes to a host: unchanged, but for the time that the node will wait.
    pub fn for_host(&self, line: &[u8], wait_ms: u64) -> Vec<u8> {
        let mut sent = Vec::with_capacity(line.len() + 2);
        sent.extend_from_slice(&line[..self.wait_at.start]);
        sent.extend_from_slice(wait_ms.to_string().as_bytes());
        sent.extend_from_slice(&line[self.wait_at.end..]);
        sent.extend_from_slice(b"\r\n");
        sent
    }
}

fn word<'a>(input: &mut &'a [u8]) -> Parsed<&'a [u8]> {
    take_while(1.., |byte: u8| byte.is_ascii_graphic()).parse_next(input)
}

fn pair<'a>(input: &mut &'a [u8]) -> Parsed<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |byte: u8| byte.is_ascii_graphic() && byte != b'=' && byte != b',');
    let value = take_while(0.., |byte: u8| byte.is_ascii_graphic() && byte != b',');
    (terminated(name, b'='), value).parse_next(input)
}

fn open<'a>(input: &mut &'a [u8]) -> Parsed<Open<'a>> {
    let line = *input;
    let (id, key) = preceded(b"OPEN ", (terminated(word, b' '), terminated(word, b' '))).parse_next(input)?;
    let pairs: Vec<(&[u8], &[u8])> = terminated(separated(1.., pair, b','), eof).parse_next(input)?;
    let mut open = Open { id, key, ..Open::default() };
    let (mut class, mut wait) = (None, None);
    for (name, value) in pairs {
        match name {
            b"c" => class = Some(value),
            b"d" => wait = Some(value),
            b"g" => open.group = Some(value),
            b"at" => open.at = Some(value),
            b"h" => open.hint = number(value),
            _ => {}
        }
    }
    let (Some(class), Some(wait)) = (class, wait) else { return Err(ErrMode::Cut(ContextError::new())) };
    open.class = class;
    let mut number = terminated(dec_uint::<_, u64, ContextError>, eof).verify(|ms| *ms <= LONGEST_WAIT_MS);
    open.wait_ms = number.parse_next(&mut &*wait).map_err(ErrMode::Cut)?;
    // `wait` is a part of `line`: its place is the distance between their first bytes.
    let at = wait.as_ptr() as usize - line.as_ptr() as usize;
    open.wait_at = at..at + wait.len();
    Ok(open)
}

fn number(bytes: &[u8]) -> Option<f64> {
    std::str::from_utf8(bytes).ok()?.parse().ok()
}

/// Reads the first line of a client's connection, without its end; none where it is malformed.
pub fn client_line(line: &[u8]) -> Option<ClientLine<'_>> {
    let ping = terminated(b"PING".as_slice(), eof).value(ClientLine::Ping);
    alt((ping, open.map(ClientLine::Open))).parse(line).ok()
}

/// What a host says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostLine {
    /// The connection is up.
    Up,
    /// Served to its end.
    Bye,
    /// The client is sent away.
    Move,
    /// An error; it may have run.
    Err,
    /// Turned away; it never ran.
    Busy,
    /// The load of the connection now, in microseconds of work a second.
    Load(f64),
    /// Any other line: a message to the client.
    Other,
}

/// Reads a line of a host, without its end.
pub fn host_line(line: &[u8]) -> HostLine {
    let mut input = line;
    let parsed: Parsed<(&[u8], Option<&[u8]>)> =
        (take_while(1.., |byte: u8| byte.is_ascii_uppercase()), opt(preceded(b' ', rest)))
            .parse_next(&mut input);
    match parsed {
        Ok((b"UP", Some(receipt))) if !receipt.is_empty() => HostLine::Up,
        Ok((b"BYE", None)) if input.is_empty() => HostLine::Bye,
        Ok((b"MOVE", None)) if input.is_empty() => HostLine::Move,
        Ok((b"ERR", _)) => HostLine::Err,
        Ok((b"BUSY", _)) => HostLine::Busy,
        Ok((b"LOAD", Some(load))) => number(load).map_or(HostLine::Other, HostLine::Load),
        _ => HostLine::Other,
    }
}
