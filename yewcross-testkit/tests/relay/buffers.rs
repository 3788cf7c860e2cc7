//! Memory for bodies, prompts and events, whose sum is limited.

use crate::rig::*;
use crate::server::*;
use std::sync::atomic::Ordering::SeqCst;
use yewcross_common::constants::*;
use yewcross_proxy::policy::Policies;

/// Bytes that the buffers of a front may use here.
const LIMIT: usize = 4_000;

fn limited(seed: u64) -> Rig {
    Rig::with_buffers(seed, 1, Policies::all(), LIMIT)
}

#[test]
fn a_body_beyond_the_buffer_memory_gets_a_promise_and_reaches_no_server() {
    let rig = limited(301);
    let refused = rig.ask("large", "/once/x", &[], &"b".repeat(LIMIT + 1));
    assert_eq!(refused.status, 503);
    assert!(refused.heads.contains_key("back-ms"), "{refused:?}");
    assert!(rig.runs("large").is_empty());
    assert_eq!(rig.relay.buffer_memory.refusals(), 1);
    let answered = rig.ask("small", "/once/x", &[], &"b".repeat(LIMIT / 2));
    assert_eq!(answered.status, 200);
    assert_eq!(rig.runs("small")[0].body.len(), LIMIT / 2);
}

#[test]
fn buffer_memory_is_free_again_after_requests_of_all_kinds() {
    let rig = limited(302);
    let body = "b".repeat(LIMIT / 3);
    for (attempt, path) in [
        ("t1", "/pure/x"),
        ("t2", "/once/x"),
        ("t3", "/stream/x"),
        ("t4", "/again/stream/x"),
        ("t5", "/none/x"),
        ("t6", "/kept/stream/x"),
    ] {
        rig.ask(attempt, path, &[], &body);
        rig.rest(SEC);
        assert_eq!(rig.relay.buffer_memory.reserved(), 0, "{path}");
    }
}

#[test]
fn a_prompt_beyond_the_buffer_memory_is_refused_and_its_turn_settled() {
    let rig = limited(303);
    let input = "b".repeat(LIMIT / 4);
    let mut previous = String::new();
    let statuses: Vec<u16> = (0..4)
        .map(|number| {
            let attempt = format!("t{number}");
            let heads = [("after", previous.as_str())];
            let status = rig.ask(&attempt, "/kept/stream/x", &heads, &input).status;
            previous = attempt;
            status
        })
        .collect();
    assert_eq!(statuses, [200, 200, 200, 503]);
    assert!(rig.runs("t3").is_empty());
    rig.rest(SEC);
    assert!(
        rig.turn_log
            .settled
            .lock()
            .unwrap()
            .contains(&("t3".into(), 0))
    );
}

#[test]
fn a_stream_whose_event_has_no_end_goes_on_at_another_server() {
    let rig = Rig::new(304, 2);
    rig.act("model0", &[Act::EndlessEvent]);
    rig.act("model1", &[Act::EndlessEvent]);
    *rig.server_state.other.lock().unwrap() = Some(Act::Good);
    let (server_state, runtime) = (rig.server_state.clone(), rig.relay.runtime.clone());
    runtime.clone().spawn(async move {
        while server_state.runs.lock().unwrap().is_empty() {
            runtime.sleep(MS).await;
        }
        server_state.acts.lock().unwrap().clear();
    });
    let heard = rig.ask("t", "/again/stream/x", &[], "b");
    assert!(
        heard.whole && heard.body.ends_with("data: t-3\n\n"),
        "{heard:?}"
    );
    assert_eq!(rig.runs("t").len(), 2);
}

#[test]
fn a_stream_whose_event_has_no_end_is_cut() {
    let rig = Rig::new(305, 1);
    rig.act("model0", &[Act::EndlessEvent]);
    let heard = rig.ask("t", "/stream/x", &[], "b");
    assert!(!heard.whole);
    assert!(
        heard.body.len() < 2 * MAX_EVENT_BYTES,
        "{}",
        heard.body.len()
    );
}

#[test]
fn a_response_that_its_client_does_not_read_counts_until_the_client_leaves() {
    let rig = Rig::with_buffers(306, 1, Policies::all(), 1 << 20);
    rig.sim.set_receive_window(1_000);
    let bytes = BUFFERED_RESPONSE_BYTES as usize;
    rig.act("a0", &[Act::Large(bytes)]);
    let reserved = rig.with(move |rig, runtime| {
        Box::pin(async move {
            use futures_lite::AsyncWriteExt;
            let mut connection = runtime.connect(rig.address).await.unwrap();
            let request = "GET /pure/x HTTP/1.1\r\nhost: h.example\r\ntry: t\r\n\r\n";
            connection.write_all(request.as_bytes()).await.unwrap();
            runtime.sleep(SEC).await;
            let reserved = rig.relay.buffer_memory.reserved();
            connection.close().await.unwrap();
            reserved
        })
    });
    assert!(
        reserved >= bytes / 2,
        "{reserved} of {bytes} bytes are counted"
    );
    rig.rest(10 * SEC);
    assert_eq!(rig.relay.buffer_memory.reserved(), 0);
}

#[test]
fn a_response_that_does_not_fit_into_the_buffer_memory_is_streamed() {
    let rig = limited(307);
    rig.act("a0", &[Act::Large(10 * LIMIT)]);
    let heard = rig.ask("t", "/pure/x", &[], "b");
    assert_eq!(
        (heard.status, heard.whole, heard.body.len()),
        (200, true, 10 * LIMIT)
    );
    assert_eq!(rig.relay.counts.passed.load(SeqCst), 1);
}

/// Bytes that the buffers of a front may use for the output of a turn.
const OUTPUT_LIMIT: usize = 300;

/// Guards against a server whose stream takes the front over its memory, since the output of a turn is
/// held until the turn is kept.
#[test]
fn a_turn_whose_output_does_not_fit_into_the_buffer_memory_is_cut() {
    let rig = Rig::with_buffers(308, 1, Policies::all(), OUTPUT_LIMIT);
    rig.all(Act::Forever);
    let heard = rig.ask("t", "/kept/stream/x", &[], "b");
    assert_eq!((heard.status, heard.whole), (200, false));
    assert!(heard.took < 3 * SEC, "cut at its deadline only");
    rig.rest(SEC);
    assert_eq!(rig.relay.buffer_memory.reserved(), 0);
    let other = rig.ask("other", "/stream/x", &[], "b");
    assert!(other.body.len() > heard.body.len(), "others are not cut");
}
