//! The upgrade channel: its queue of messages, and questions to the predecessor.

use std::time::Duration;

use alderstile_node::lifecycle::upgrade_channel::{ClaimError, MAX_QUEUED_BYTES, UpgradeChannel};
use alderstile_node::lifecycle::upgrade_message::{MINOR_VERSION, UpgradeMessage};
use alderstile_node::proxy::request_ids::IdDigest;
use tokio::sync::mpsc;
use tokio::time::timeout;

mod support;
use support::run;

/// Guards against messages that are queued without limit for a process that does not read (issue 61).
#[test]
fn queue_of_a_process_that_does_not_read_is_limited() {
    run(async {
        for minor_version in [0, MINOR_VERSION] {
            let (outgoing, mut messages) = mpsc::unbounded_channel();
            let channel = UpgradeChannel::to_successor(outgoing, minor_version);
            let id = [b'x'; 4_000];
            for _ in 0..100_000 {
                channel.send_claimed(&id, IdDigest::of(b"x"));
            }
            timeout(Duration::ZERO, channel.queue_full.notified()).await.expect("the queue is full");
            let mut queued_bytes = 0;
            while let Ok(message) = messages.try_recv() {
                channel.on_dequeued(&message);
                queued_bytes += size_of::<UpgradeMessage>();
                if let UpgradeMessage::RequestId(id) = message {
                    queued_bytes += id.len();
                }
            }
            assert!(queued_bytes <= MAX_QUEUED_BYTES, "{queued_bytes} bytes");
            // After the messages were read, further ones are queued.
            channel.send_stopped_accepting();
            assert!(matches!(messages.try_recv(), Ok(UpgradeMessage::StoppedAccepting)));
        }
    });
}

#[test]
fn claim_is_granted_rejected_or_unconfirmed() {
    run(async {
        let (outgoing, mut messages) = mpsc::unbounded_channel();
        let channel = UpgradeChannel::to_predecessor(outgoing, 0, MINOR_VERSION);
        let (id, max_wait) = (IdDigest(7), Duration::from_secs(5));
        for (granted, expected) in [(true, Ok(())), (false, Err(ClaimError::Known))] {
            let answer = async {
                let Some(UpgradeMessage::ClaimRequest { number, id: IdDigest(7) }) = messages.recv().await
                else {
                    panic!("no question")
                };
                channel.on_claim_answer(number, granted);
            };
            let (claimed, ()) = tokio::join!(channel.claim(id, max_wait), answer);
            assert_eq!(claimed, expected);
        }
        let ended = async { channel.close() };
        let (claimed, ()) = tokio::join!(channel.claim(id, max_wait), ended);
        assert_eq!(claimed, Err(ClaimError::Unconfirmed));
        assert_eq!(channel.claim(id, Duration::from_millis(1)).await, Err(ClaimError::Unconfirmed));
    });
}
