//! The wire codec and the adapter program, tested with frames built here.

use alderstile_sim_adapter::instances::{AdapterError, Instances};
use alderstile_sim_adapter::wire::{HEADER_LEN, Header, RecordBody, Records, Reply, WireError};
use std::io::Write;
use std::process::{Command, Stdio};

use alderstile::settings::{self, SettingValues, SettingsError};
use alderstile::types::*;

const SETTINGS: &str = "balancers=2\nmy_zone=1\nclasses.count=1\nclasses.0.aim=300000\n\
    classes.0.worth=2.0\nclasses.0.semantics=retryable\nclasses.0.window=5000000\nextra.message_aim=100000.0\n\
    discovery=automatic\nallowed.max_attempts=3\nallowed.retry_after=true\n\
    allowed.max_retry_after=1000000\nallowed.probes=false\nallowed.may_tell=false\nweights=silent\n\
    obligations.cold=8500000\nobligations.cold_from=0.4\nobligations.fall_multiple=4.0\n\
    obligations.overload_for=1500000\nsomething.new=7\n";

const SERVER: [u8; 6] = [10, 18, 74, 7, 0x93, 0x1f];

fn frame(batch: u32, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut frame = batch.to_le_bytes().to_vec();
    frame.extend(9_000_000u64.to_le_bytes());
    frame.extend(((HEADER_LEN + body.len()) as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(body);
    frame
}

fn record(code: u8, instance: u16, fields: &[&[u8]]) -> Vec<u8> {
    let mut record = vec![code];
    record.extend(instance.to_le_bytes());
    record.extend(fields.concat());
    record
}

fn start(instance: u16, text: &str) -> Vec<u8> {
    let len = (text.len() as u32).to_le_bytes();
    record(6, instance, &[&42u64.to_le_bytes(), &len, text.as_bytes()])
}

fn endpoint(state: u8) -> Vec<u8> {
    let mut endpoint = SERVER.to_vec();
    endpoint.extend([1, 0, 0, 0, 2, 0, state]);
    endpoint.extend(1.5f32.to_le_bytes());
    endpoint.extend(6_100_000u64.to_le_bytes());
    endpoint
}

fn endpoint_list(instance: u16, kind: u8, endpoints: &[Vec<u8>]) -> Vec<u8> {
    let count = (endpoints.len() as u32).to_le_bytes();
    record(2, instance, &[&41u32.to_le_bytes(), &[kind], &count, &endpoints.concat()])
}

fn request(instance: u16, id: u64) -> Vec<u8> {
    let (group, expected_load, class, remaining) = (77u64, 12_000u32, 0u16, 240_000u32);
    record(
        9,
        instance,
        &[
            &id.to_le_bytes(),
            &group.to_le_bytes(),
            &expected_load.to_le_bytes(),
            &class.to_le_bytes(),
            &remaining.to_le_bytes(),
            &5u64.to_le_bytes(),
            &0u16.to_le_bytes(),
            &9u16.to_le_bytes(),
        ],
    )
}

fn parse(frame: &[u8]) -> Result<Vec<(u16, RecordBody)>, WireError> {
    let head: [u8; HEADER_LEN] = frame[..HEADER_LEN].try_into().expect("a complete header");
    let mut records = Records::new(Header::parse(&head)?, &frame[HEADER_LEN..]);
    let mut all = Vec::new();
    while let Some(record) = records.next_record()? {
        all.push((record.instance, record.body));
    }
    Ok(all)
}

fn only_event(record: Vec<u8>) -> Event {
    match parse(&frame(1, &[record])).expect("a valid frame").pop() {
        Some((3, RecordBody::Event(event))) => event,
        other => panic!("{other:?}"),
    }
}

fn answer(instances: &mut Instances, frame: &[u8]) -> Result<Vec<u8>, AdapterError> {
    let head: [u8; HEADER_LEN] = frame[..HEADER_LEN].try_into().expect("a complete header");
    let header = Header::parse(&head)?;
    instances.handle_batch(&header, &frame[HEADER_LEN..]).map(<[u8]>::to_vec)
}

const ID: ServerId = ServerId(0x0a12_4a07_1f93);

#[test]
fn every_event_is_decoded_field_by_field() {
    let Event::Request(request) = only_event(request(3, 901)) else { panic!() };
    assert_eq!((request.id, request.class, request.time_remaining), (RequestId(901), 0, Micros(240_000)));
    assert_eq!(
        (request.group, request.expected_load, request.key),
        (Some(GroupId(77)), Some(12_000.0), Some(5))
    );
    assert!(request.mid_flow);

    let Event::EndpointList(EndpointListKind::Cached, endpoints) =
        only_event(endpoint_list(3, 2, &[endpoint(2)]))
    else {
        panic!()
    };
    assert_eq!((endpoints[0].id, endpoints[0].zone, endpoints[0].cell), (ID, 1, 2));
    assert_eq!((endpoints[0].state, endpoints[0].weight), (EndpointState::Draining, 1.5));
    assert_eq!(endpoints[0].started, Some(Micros(6_100_000)));

    let id = 7u64.to_le_bytes();
    let load_signal = |kind: u8| record(3, 3, &[&id, &0.5f32.to_le_bytes(), &[0, 0], &SERVER, &[kind]]);
    assert!(matches!(only_event(load_signal(1)), Event::LoadReported(RequestId(7), load) if load == 0.5));
    assert!(matches!(only_event(load_signal(2)), Event::DelayReported(ID, ms) if ms == 0.5));

    let value = 0.25f32.to_le_bytes();
    let ended = record(5, 3, &[&id, &900u32.to_le_bytes(), &[1], &[0, 0], &[5], &SERVER, &[1], &value]);
    let Event::Ended { id: ended, server, outcome, closed, report } = only_event(ended) else { panic!() };
    assert_eq!((ended, server, outcome, closed), (RequestId(7), ID, Outcome::Reset, true));
    assert_eq!(report, [0.25]);

    let probe = record(8, 3, &[&SERVER, &[3], &900u32.to_le_bytes(), &[0]]);
    assert!(matches!(only_event(probe), Event::ProbeCompleted { server: ID, outcome: Outcome::Timeout, .. }));

    let first = record(11, 3, &[&id, &[0, 0], &SERVER, &900u32.to_le_bytes()]);
    assert!(matches!(only_event(first), Event::Established { id: RequestId(7), latency: Micros(900) }));

    let peer_message = record(12, 3, &[&2u32.to_le_bytes(), &2u16.to_le_bytes(), b"hi"]);
    assert!(matches!(only_event(peer_message), Event::PeerMessage(2, data) if data == b"hi"));

    let open = record(
        10,
        3,
        &[
            &id,
            &1u16.to_le_bytes(),
            &[0, 0],
            &[0, 0],
            &5u64.to_le_bytes(),
            &SERVER,
            &12u32.to_le_bytes(),
            &34u32.to_le_bytes(),
            &77u64.to_le_bytes(),
        ],
    );
    let Event::ExistingConnection(request, ID) = only_event(open) else { panic!() };
    assert_eq!((request.expected_load, request.time_remaining), (Some(12.0), Micros(34)));
    assert_eq!((request.group, request.key), (Some(GroupId(77)), Some(5)));

    assert!(matches!(only_event(record(1, 3, &[&id])), Event::Timer(TimerToken(7))));
    assert!(matches!(only_event(record(4, 3, &[&id])), Event::ClientDisconnected(RequestId(7))));
}

#[test]
fn every_action_is_encoded_byte_by_byte() {
    let mut reply = Reply::default();
    reply.begin(12);
    let actions = [
        Action::Forward(RequestId(7), ID, Some(Micros(9))),
        Action::Forward(RequestId(7), ID, None),
        Action::Reject(RequestId(7), Some(Micros(1 << 40))),
        Action::Fail(RequestId(7)),
        Action::Migrate(RequestId(7)),
        Action::SetTimer(Micros(5), TimerToken(6)),
        Action::WatchEndpoints,
        Action::Probe(ID),
        Action::Broadcast(vec![1, 2]),
        Action::Log(None, "ok".to_owned()),
    ];
    actions.iter().for_each(|action| reply.push(3, action));
    let id = 7u64.to_le_bytes();
    let body = [
        record(13, 3, &[&id, &SERVER, &9u32.to_le_bytes()]),
        record(13, 3, &[&id, &SERVER, &[0; 4]]),
        record(3, 3, &[&id, &[0xff; 4]]),
        record(7, 3, &[&id]),
        record(2, 3, &[&id]),
        record(12, 3, &[&5u32.to_le_bytes(), &6u64.to_le_bytes()]),
        record(4, 3, &[&[1]]),
        record(11, 3, &[&SERVER]),
        record(8, 3, &[&[0xff; 4], &[2, 0], &[1, 2]]),
        record(10, 3, &[&[2, 0], b"ok"]),
    ]
    .concat();
    let mut expected = 12u32.to_le_bytes().to_vec();
    expected.extend((actions.len() as u32).to_le_bytes());
    expected.extend((12 + body.len() as u32).to_le_bytes());
    expected.extend(body);
    assert_eq!(reply.finish(), expected);
}

#[test]
fn batch_is_answered_and_instances_share_no_state() {
    let mut instances = Instances::default();
    let start_records = |i| [start(i, SETTINGS), endpoint_list(i, 1, &[endpoint(1)]), request(i, 1)];
    let alone = answer(&mut Instances::default(), &frame(1, &start_records(3))).expect("an answer");
    let both: Vec<Vec<u8>> = start_records(3).into_iter().chain(start_records(4)).collect();
    let together = answer(&mut instances, &frame(1, &both)).expect("an answer");
    assert_eq!(alone[12..], together[12..alone.len()]);
    let again = [record(7, 3, &[]), start(3, SETTINGS), endpoint_list(3, 2, &[]), request(3, 2)];
    let reply = answer(&mut instances, &frame(2, &again)).expect("a restart in one batch");
    assert_eq!(reply[..4], 2u32.to_le_bytes());
    let unknown = answer(&mut instances, &frame(3, &[request(9, 1)])).expect("an unknown instance");
    assert_eq!(unknown.len(), 12);
    assert_eq!(answer(&mut instances, &frame(4, &[])).expect("an empty batch").len(), 12);
}

#[test]
fn malformed_record_error_names_batch_and_offset() {
    let complete = endpoint_list(3, 0, &[endpoint(1)]);
    for cut in 1..complete.len() {
        let mut malformed = frame(8, &[start(3, SETTINGS), complete[..cut].to_vec()]);
        malformed.truncate(malformed.len());
        let offset = HEADER_LEN + start(3, SETTINGS).len();
        match parse(&malformed) {
            Err(WireError::InvalidRecord { batch: 8, offset: at, .. }) => assert_eq!(at, offset),
            other => panic!("{other:?}"),
        }
    }
    let malformed =
        |record: Vec<u8>| parse(&frame(8, &[record])).expect_err("a malformed record").to_string();
    assert!(malformed(record(99, 3, &[])).contains("unknown record code"));
    assert!(malformed(record(2, 3, &[&[0; 4], &[9], &[0; 4]])).contains("unknown list kind"));
    assert!(malformed(endpoint_list(3, 0, &[endpoint(7)])).contains("unknown server state"));
    // A count that exceeds its frame must not cause an allocation of that size.
    let huge = record(2, 3, &[&[0; 4], &[1], &u32::MAX.to_le_bytes()]);
    assert!(malformed(huge).contains("ends inside"));
    let text = record(6, 3, &[&[0; 8], &u32::MAX.to_le_bytes()]);
    assert!(malformed(text).contains("ends inside"));
    let mut long = frame(8, &[request(3, 1)]);
    long[16..20].copy_from_slice(&0u32.to_le_bytes());
    assert!(matches!(parse(&long), Err(WireError::TrailingBytes { trailing: 41, .. })));
    for len in [0u32, 19, u32::MAX] {
        let mut head = frame(8, &[]);
        head[12..16].copy_from_slice(&len.to_le_bytes());
        assert_eq!(parse(&head).expect_err("a malformed length"), WireError::InvalidLength { batch: 8, len });
    }
}

#[test]
fn settings_error_names_missing_or_invalid_key() {
    assert!(settings::parse(&SettingValues::from_lines(SETTINGS)).is_ok());
    let without = |key: &str| -> String {
        SETTINGS.lines().filter(|line| !line.starts_with(key)).map(|line| format!("{line}\n")).collect()
    };
    for key in ["balancers", "classes.count", "classes.0.aim", "discovery", "obligations.cold", "weights"] {
        match settings::parse(&SettingValues::from_lines(&without(&format!("{key}=")))) {
            Err(SettingsError::MissingKey(missing)) => assert_eq!(missing, key),
            other => panic!("{key}: {other:?}"),
        }
    }
    for (key, value) in [
        ("balancers", "0"),
        ("balancers", "two"),
        ("discovery", "guess"),
        ("classes.0.aim", "-1"),
        ("classes.0.semantics", "perhaps"),
        ("obligations.cold_from", "NaN"),
        ("allowed.retry_after", "yes"),
        ("extra.message_aim", "soon"),
    ] {
        let text = without(&format!("{key}=")) + &format!("{key}={value}\n");
        match settings::parse(&SettingValues::from_lines(&text)) {
            Err(SettingsError::InvalidValue { key: reported, .. }) => assert_eq!(reported, key),
            other => panic!("{key}: {other:?}"),
        }
    }
}

fn run(input: &[u8]) -> std::process::Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_alderstile-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may end before it has read all input; the exit code shows whether it failed.
    let _ = child.stdin.take().expect("its input").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

#[test]
fn program_answers_batches_and_fails_on_malformed_input() {
    let good =
        [frame(1, &[]), frame(2, &[start(3, SETTINGS), endpoint_list(3, 1, &[endpoint(1)]), request(3, 1)])]
            .concat();
    let output = run(&good);
    assert!(output.status.success());
    assert_eq!(output.stdout[..12], [1u32, 0, 12].map(u32::to_le_bytes).concat());
    assert!(run(&[]).status.success());

    let messages = [
        (good[..good.len() - 1].to_vec(), "batch 2"),
        (good[..7].to_vec(), "header"),
        (frame(5, &[record(99, 3, &[])]), "batch 5, offset 20: unknown record code"),
        (frame(6, &[start(3, "balancers=2\n")]), "instance 3: invalid settings: missing key"),
    ];
    for (input, message) in messages {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success());
        assert!(stderr.contains(message) && !stderr.contains("panicked"), "{stderr}");
    }
}
