//! The line buffer keeps every byte, in order, however the bytes are split.

use alderstile_node::proxy::line_buffer::{LineBuffer, LineTooLong, MAX_LINE};
use proptest::prelude::*;

/// Puts bytes in as far as there is room; returns how many.
fn put(buffer: &mut LineBuffer, bytes: &[u8]) -> Result<usize, LineTooLong> {
    let room = buffer.spare_capacity()?;
    let count = room.len().min(bytes.len());
    room[..count].copy_from_slice(&bytes[..count]);
    buffer.commit(count);
    Ok(count)
}

fn lines() -> impl Strategy<Value = Vec<u8>> {
    // Bare ends of lines and lone halves of them must not be taken for an end.
    let byte = prop_oneof![4 => any::<u8>(), 1 => Just(b'\r'), 1 => Just(b'\n')];
    let line = prop::collection::vec(byte, 0..300).prop_map(|mut line| {
        line.extend_from_slice(b"\r\n");
        line
    });
    prop::collection::vec(line, 1..40).prop_map(|lines| lines.concat())
}

proptest! {
    #[test]
    fn what_goes_in_comes_out(sent in lines(), steps in prop::collection::vec((1..900usize, 0..900usize), 1..50)) {
        let mut buffer = LineBuffer::default();
        let (mut put_in, mut taken) = (0, Vec::new());
        for (offer, take) in steps.iter().cycle() {
            let end = (put_in + offer).min(sent.len());
            put_in += put(&mut buffer, &sent[put_in..end]).expect("no line is too long");
            prop_assert!(buffer.allocated() <= MAX_LINE);
            prop_assert_eq!(buffer.buffered(), put_in - taken.len());
            let whole = buffer.complete_lines();
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n"), "only whole lines are shown");
            // The last bytes always go on, or a step of nothing but zeros would never end.
            let count = if put_in == sent.len() { whole.len() } else { whole.len().min(*take) };
            taken.extend_from_slice(&whole[..count]);
            buffer.consume(count);
            if taken.len() == sent.len() {
                break;
            }
        }
        prop_assert_eq!(taken, sent);
        prop_assert_eq!(buffer.buffered(), 0);
    }

    #[test]
    fn the_lines_that_became_whole_are_told_once(sent in lines(), split in 1..700usize) {
        let mut buffer = LineBuffer::default();
        let (mut told, mut rest) = (Vec::new(), sent.as_slice());
        while !rest.is_empty() {
            let room = buffer.spare_capacity().expect("no line is too long");
            let count = room.len().min(rest.len()).min(split);
            room[..count].copy_from_slice(&rest[..count]);
            told.extend_from_slice(buffer.commit(count));
            rest = &rest[count..];
            buffer.consume(buffer.complete_lines().len());
        }
        prop_assert_eq!(told, sent);
    }
}

#[test]
fn a_line_may_be_as_long_as_allowed_and_no_longer() {
    for (len, fits) in [(MAX_LINE, true), (MAX_LINE + 1, false)] {
        let mut line = vec![b'x'; len - 2];
        line.extend_from_slice(b"\r\n");
        let (mut buffer, mut put_in, mut result) = (LineBuffer::default(), 0, Ok(0));
        while put_in < len && result.is_ok() {
            result = put(&mut buffer, &line[put_in..]);
            put_in += result.unwrap_or_default();
        }
        assert_eq!(result.is_ok(), fits, "{len} bytes");
        assert_eq!(buffer.first_line().is_some(), fits);
    }
}

#[test]
fn an_idle_connection_takes_little_memory() {
    let mut buffer = LineBuffer::default();
    assert_eq!(buffer.allocated(), 0);
    let mut line = vec![b'x'; 3_000];
    line.extend_from_slice(b"\r\n");
    let mut rest = line.as_slice();
    while !rest.is_empty() {
        let count = put(&mut buffer, rest).expect("it fits");
        rest = &rest[count..];
    }
    assert!(buffer.allocated() >= 3_000);
    buffer.consume(line.len());
    assert!(buffer.allocated() <= 256, "{} bytes kept", buffer.allocated());
}

#[test]
fn full_of_whole_lines_it_has_no_room_but_is_not_too_long() {
    let mut buffer = LineBuffer::default();
    let line = [b"y".repeat(62), b"\r\n".to_vec()].concat();
    while buffer.can_read() {
        assert!(put(&mut buffer, &line).is_ok());
    }
    assert_eq!(buffer.spare_capacity().map(|room| room.len()), Ok(0));
    buffer.consume_first_line();
    assert!(buffer.can_read());
    assert_eq!(buffer.spare_capacity().map(|room| room.len()), Ok(64));
}
