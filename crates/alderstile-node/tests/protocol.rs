//! The parsers of the lines of clients and hosts.

use alderstile_node::proxy::protocol::{ClientLine, HostLine, parse_client_line, parse_host_line};
use proptest::prelude::*;

const OPEN: &[u8] = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59";

#[test]
fn first_line_is_parsed() {
    let Some(ClientLine::Open(open)) = parse_client_line(OPEN) else { panic!("not parsed") };
    assert_eq!((open.id, open.flow_key), (&b"9b1f03aa5c7e2d41"[..], &b"7f3a9c21e0b4d655"[..]));
    assert_eq!((open.class, open.wait_ms), (&b"chat"[..], 2_000));
    assert_eq!(
        (open.group, open.previous_host, open.expected_load),
        (Some(&b"5c0f6e1a2b3d4c59"[..]), None, None)
    );
    assert_eq!(parse_client_line(b"PING"), Some(ClientLine::Ping));
}

#[test]
fn unknown_parameters_are_ignored() {
    let line = b"OPEN a b x=,h=12.5,again=1,r=1,d=7,at=s-5be2a07c,c=p";
    let Some(ClientLine::Open(open)) = parse_client_line(line) else { panic!("not parsed") };
    assert_eq!((open.class, open.wait_ms), (&b"p"[..], 7));
    assert_eq!((open.previous_host, open.expected_load), (Some(&b"s-5be2a07c"[..]), Some(12.5)));
}

#[test]
fn forwarded_line_differs_only_in_the_wait() {
    let Some(ClientLine::Open(open)) = parse_client_line(OPEN) else { panic!("not parsed") };
    let sent = open.forwarded_line(OPEN, 987);
    let expected = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=987,g=5c0f6e1a2b3d4c59\r\n";
    assert_eq!(sent, expected);
}

#[test]
fn malformed_first_lines_are_rejected() {
    let lines: [&[u8]; 14] = [
        b"",
        b"PING ",
        b"PINGPONG",
        b"GET / HTTP/1.1",
        b"OPEN",
        b"OPEN a b",
        b"OPEN a b ",
        b"OPEN a b c=chat",
        b"OPEN a b d=2000",
        b"OPEN a b c=chat,d=",
        b"OPEN a b c=chat,d=-1",
        b"OPEN a b c=chat,d=2x",
        b"OPEN a b c=chat,d=99999999999999999999999",
        b"OPEN  b c=chat,d=2000",
    ];
    for line in lines {
        assert_eq!(parse_client_line(line), None, "{:?}", String::from_utf8_lossy(line));
    }
}

#[test]
fn host_lines_are_distinguished() {
    let lines: [(&[u8], HostLine); 14] = [
        (b"UP 9c20d8bd46473968", HostLine::Up),
        (b"UP", HostLine::Other),
        (b"UPPER x", HostLine::Other),
        (b"BYE", HostLine::Bye),
        (b"BYE now", HostLine::Other),
        (b"MOVE", HostLine::Move),
        (b"ERR", HostLine::Err),
        (b"ERR overloaded", HostLine::Err),
        (b"BUSY", HostLine::Busy),
        (b"BUSY 40", HostLine::Busy),
        (b"LOAD 51677.836", HostLine::Load(51_677.836)),
        (b"LOAD much", HostLine::Other),
        (b"M 1 hello", HostLine::Other),
        (b"", HostLine::Other),
    ];
    for (line, expected) in lines {
        assert_eq!(parse_host_line(line), expected, "{:?}", String::from_utf8_lossy(line));
    }
}

proptest! {
    #[test]
    fn parsers_do_not_panic_on_arbitrary_bytes(line in prop::collection::vec(any::<u8>(), 0..200)) {
        parse_client_line(&line);
        parse_host_line(&line);
        parse_client_line(&[b"OPEN ", line.as_slice()].concat());
    }

    #[test]
    fn valid_first_line_is_parsed_whatever_its_values(id in "[!-~]{1,20}", key in "[!-~]{1,20}", wait in 0..u64::from(u32::MAX)) {
        let line = format!("OPEN {id} {key} c=chat,d={wait}").into_bytes();
        let parsed = parse_client_line(&line);
        prop_assert!(matches!(&parsed, Some(ClientLine::Open(open)) if open.wait_ms == wait), "{:?}", parsed);
    }
}
