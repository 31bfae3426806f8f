//! Compatibility of membership: datagrams, and the datagrams of a simulated schedule, match the fixtures
//! recorded with commit cc53de7 byte for byte.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use alderstile::types::Micros;
use alderstile_cluster::membership::{
    Datagram, DatagramCodec, DatagramHeader, InstanceId, MemberRecord, MemberState, MemberUpdate, Membership,
    MembershipChange, MembershipConfig, MembershipEffect, Message,
};

fn fixtures() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/membership")
}

fn fixture(name: &str) -> Vec<u8> {
    let path = fixtures().join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn codec() -> DatagramCodec {
    DatagramCodec::new("fixtures", &[b"a fixed key of the fixtures".to_vec()]).expect("a valid codec")
}

fn record(number: u8) -> MemberRecord {
    let mut record = MemberRecord {
        instance: InstanceId(0x0102_0304_0506_0700 + u64::from(number)),
        incarnation: 0x1112_1314_1516_1718,
        name: format!("edge-{number}").into(),
        zone: "zone-a".into(),
        address: ([192, 0, 2, number], 7_946).into(),
        config_digest: 0x2122_2324_2526_2728,
        metadata: [].into(),
    };
    record.set_metadata(b't', &[42]).expect("metadata within the bound");
    record.set_metadata(4, b"cold").expect("metadata within the bound");
    record
}

/// Returns a record with an IPv6 address, the longer form, and without zone and metadata.
fn ipv6_record() -> MemberRecord {
    let address: SocketAddr = "[2001:db8::7]:65535".parse().expect("a valid address");
    MemberRecord { address, zone: "".into(), metadata: [].into(), ..record(7) }
}

/// Returns a datagram of each kind, and with each kind of update, with the name of its fixture.
fn datagrams() -> Vec<(&'static str, Datagram)> {
    let receiver = InstanceId(0x3132_3334_3536_3738);
    let header = DatagramHeader { sender: record(1).instance, receiver, sequence: 0x4142_4344_4546_4748 };
    let nonce = 0x5152_5354_5556_5758;
    let incarnation = 0x6162_6364_6566_6768;
    let with_message = |message| Datagram { header, message, updates: Vec::new() };
    let with_updates = |updates| Datagram { header, message: Message::Ack { nonce }, updates };
    let page = vec![
        (MemberState::Alive, record(2)),
        (MemberState::Suspect, record(3)),
        (MemberState::Dead, ipv6_record()),
        (MemberState::Left, record(4)),
    ];
    vec![
        ("ping.bin", with_message(Message::Ping { nonce, record: record(1) })),
        ("ping_ipv6.bin", with_message(Message::Ping { nonce, record: ipv6_record() })),
        ("ack.bin", with_message(Message::Ack { nonce })),
        (
            "ping_request.bin",
            with_message(Message::PingRequest {
                nonce,
                target: record(2).instance,
                address: record(2).address,
            }),
        ),
        (
            "ping_request_ipv6.bin",
            with_message(Message::PingRequest {
                nonce,
                target: record(7).instance,
                address: ipv6_record().address,
            }),
        ),
        ("nack.bin", with_message(Message::Nack { nonce })),
        ("handshake.bin", with_message(Message::Identify { record: record(1) })),
        (
            "sync_request.bin",
            with_message(Message::SyncRequest { after: record(2).instance, record: record(1) }),
        ),
        ("sync_page.bin", with_message(Message::SyncPage { is_last: false, members: page.clone() })),
        ("sync_last_page.bin", with_message(Message::SyncPage { is_last: true, members: page })),
        ("sync_empty_page.bin", with_message(Message::SyncPage { is_last: false, members: Vec::new() })),
        ("gossip_alive.bin", with_updates(vec![MemberUpdate::Alive(record(2))])),
        (
            "gossip_suspect.bin",
            with_updates(vec![MemberUpdate::Suspect {
                instance: record(2).instance,
                incarnation,
                reporter: receiver,
            }]),
        ),
        (
            "gossip_dead.bin",
            with_updates(vec![MemberUpdate::Dead { instance: record(2).instance, incarnation }]),
        ),
        (
            "gossip_left.bin",
            with_updates(vec![MemberUpdate::Left { instance: record(2).instance, incarnation }]),
        ),
        (
            "gossip_several.bin",
            with_updates(vec![
                MemberUpdate::Left { instance: record(5).instance, incarnation },
                MemberUpdate::Alive(ipv6_record()),
                MemberUpdate::Dead { instance: record(3).instance, incarnation },
                MemberUpdate::Suspect { instance: record(2).instance, incarnation, reporter: receiver },
            ]),
        ),
    ]
}

#[test]
fn each_datagram_kind_is_decoded_and_encoded_as_recorded() {
    for (name, datagram) in datagrams() {
        let bytes = fixture(name);
        assert_eq!(codec().decode(&bytes).as_ref(), Ok(&datagram), "decoded {name}");
        let updates: Vec<&MemberUpdate> = datagram.updates.iter().collect();
        let written = codec().encode(datagram.header, &datagram.message, &updates);
        assert_eq!(written, (bytes, datagram.updates.len()), "encoded {name}");
    }
}

#[test]
fn each_recorded_datagram_is_tested() {
    let tested: BTreeSet<String> = datagrams().iter().map(|(name, _)| (*name).to_owned()).collect();
    let files = std::fs::read_dir(fixtures()).expect("the fixtures directory");
    let names =
        files.map(|file| file.expect("a readable entry").file_name().into_string().expect("a UTF-8 name"));
    let fixture_names: BTreeSet<String> = names.filter(|name| name.ends_with(".bin")).collect();
    assert_eq!(tested, fixture_names);
}

/// Simulated members that join, lose datagrams, die, are paused, are partitioned, leave and restart.
struct Simulation {
    members: Vec<Option<Membership>>,
    now: Micros,
    datagrams: u64,
    /// A running digest of all effects of the members.
    digest: u64,
    effect_count: u64,
}

const MEMBERS: u64 = 12;

/// Describes a change by a number for its kind, because the fixture must not depend on the names of the
/// variants.
fn describe_change(change: &MembershipChange) -> String {
    match change {
        MembershipChange::Joined(instance) => format!("0 {instance}"),
        MembershipChange::Suspected(instance) => format!("1 {instance}"),
        MembershipChange::Recovered(instance) => format!("2 {instance}"),
        MembershipChange::Died(instance) => format!("3 {instance}"),
        MembershipChange::Left(instance) => format!("4 {instance}"),
        MembershipChange::Replaced(instance) => format!("5 {instance}"),
        MembershipChange::NameConflict(name) => format!("6 {name}"),
        MembershipChange::NameConflictResolved(name) => format!("7 {name}"),
        MembershipChange::Refuted => "8".to_owned(),
        MembershipChange::Stalled(span) => format!("9 {}", span.0),
    }
}

impl Simulation {
    fn new() -> Self {
        let mut simulation =
            Simulation { members: Vec::new(), now: Micros(0), datagrams: 0, digest: 0, effect_count: 0 };
        for number in 1..=MEMBERS {
            simulation.members.push(None);
            simulation.start(number, number);
        }
        simulation
    }

    fn start(&mut self, number: u64, instance: u64) {
        let local = MemberRecord {
            instance: InstanceId(instance * 7_919),
            incarnation: 1,
            name: format!("edge-{number}").into(),
            zone: ["a", "b"][(number % 2) as usize].into(),
            address: ([127, 0, 0, number as u8], 7_946).into(),
            config_digest: 7,
            metadata: [].into(),
        };
        let seeds = [1, 2, 99].map(|seed| ([127, 0, 0, seed], 7_946).into()).to_vec();
        let config = MembershipConfig::with_period(Micros::from_millis(1_000));
        let member = Membership::new(config, codec(), local, seeds, instance, self.now);
        self.members[number as usize - 1] = Some(member);
    }

    fn record_effect(&mut self, sender: usize, effect: &MembershipEffect) {
        let text = match effect {
            MembershipEffect::Send { to, datagram: bytes } => format!("{} {to} {bytes:?}", self.now.0),
            MembershipEffect::Changed(change) => format!("{} {}", self.now.0, describe_change(change)),
        };
        self.effect_count += 1;
        self.digest =
            alderstile_cluster::content_digest(format!("{} {sender} {text}", self.digest).as_bytes());
    }

    /// Delivers sent datagrams, except every seventh one and those between the sides of a partition.
    fn deliver(&mut self, sender: usize, effects: Vec<MembershipEffect>, partition: &[u64]) {
        let mut pending = vec![(sender, effects)];
        while let Some((sender, effects)) = pending.pop() {
            for effect in effects {
                self.record_effect(sender, &effect);
                let MembershipEffect::Send { to, datagram: bytes } = effect else { continue };
                self.datagrams += 1;
                let receiver = self
                    .members
                    .iter()
                    .position(|other| other.as_ref().is_some_and(|other| other.local().address == to));
                let Some(receiver) = receiver.filter(|_| !self.datagrams.is_multiple_of(7)) else { continue };
                let is_in_partition = |number: usize| partition.contains(&(number as u64 + 1));
                if is_in_partition(sender) != is_in_partition(receiver) {
                    continue;
                }
                let from = ([127, 0, 0, sender as u8 + 1], 7_946).into();
                if let Some(member) = &mut self.members[receiver] {
                    pending.push((receiver, member.handle_datagram(self.now, from, &bytes)));
                }
            }
        }
    }

    fn run_for(&mut self, seconds: u64, paused: Option<u64>, partition: &[u64]) {
        let until = self.now + Micros::from_millis(seconds * 1_000);
        loop {
            let running = self.members.iter().enumerate().filter(|(i, _)| paused != Some(*i as u64 + 1));
            let due = running.filter_map(|(i, member)| Some((member.as_ref()?.next_timeout(), i))).min();
            let Some((at, i)) = due.filter(|(at, _)| *at <= until) else { break };
            self.now = self.now.max(at);
            let effects =
                self.members[i].as_mut().map(|member| member.handle_timeout(self.now)).unwrap_or_default();
            self.deliver(i, effects, partition);
        }
        self.now = until;
    }
}

/// The sent bytes depend on the order of random draws and of iterations, so this test detects changes of
/// either.
#[test]
fn a_simulated_schedule_sends_the_recorded_bytes() {
    let mut simulation = Simulation::new();
    simulation.run_for(40, None, &[]);
    simulation.members[4] = None;
    simulation.run_for(30, None, &[]);
    simulation.start(5, 105);
    simulation.run_for(20, Some(6), &[]);
    simulation.run_for(20, None, &[]);
    simulation.run_for(60, None, &[7, 8, 9]);
    simulation.run_for(60, None, &[]);
    if let Some(member) = &mut simulation.members[9] {
        let effects = member.leave(simulation.now);
        simulation.deliver(9, effects, &[]);
    }
    simulation.run_for(2, None, &[]);
    simulation.members[9] = None;
    if let Some(member) = &mut simulation.members[0] {
        member.set_config_digest(8);
        member.set_metadata(b't', &[42]).expect("metadata within the bound");
    }
    simulation.run_for(400, None, &[1, 2]);
    simulation.run_for(100, None, &[]);
    let live_members: usize = simulation.members.iter().flatten().map(Membership::live_count).sum();
    let summary = format!(
        "{:016x} digest, {} effects, {} datagrams, {live_members} members in all views\n",
        simulation.digest, simulation.effect_count, simulation.datagrams
    );
    let recorded = String::from_utf8(fixture("schedule.txt")).expect("text");
    assert_eq!(summary, recorded);
}
