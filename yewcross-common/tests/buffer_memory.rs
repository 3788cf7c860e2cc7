//! Reservation of memory for buffers, and the limits that follow from the bounds of a process.

use std::sync::Arc;
use yewcross_common::buffer_memory::*;
use yewcross_common::constants::*;
use yewcross_common::overload::OverloadLimits;
use yewcross_common::process::memory::parse_peak_mb;
use yewcross_common::process_settings::Bounds;

fn memory(limit: usize) -> Arc<BufferMemory> {
    Arc::new(BufferMemory::with_limit(limit))
}

fn bounds(memory_mb: u64, files: u64) -> Bounds {
    Bounds {
        memory_mb,
        files,
        ..Bounds::default()
    }
}

#[test]
fn a_reservation_lasts_as_long_as_any_copy_of_its_bytes() {
    let memory = memory(1_000);
    let mut buffer = ReservedBuffer::new(&memory);
    buffer.extend(&[1; 600], Some(600)).unwrap();
    let bytes = buffer.freeze();
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(memory.reserved(), 600);
    assert_eq!(&part[..], [1; 10]);
    drop(part);
    assert_eq!(memory.reserved(), 0);
}

#[test]
fn what_does_not_fit_is_refused_and_leaves_nothing_reserved() {
    let memory = memory(1_000);
    let mut buffer = ReservedBuffer::new(&memory);
    buffer.extend(&[1; 900], None).unwrap();
    assert_eq!(buffer.extend(&[1; 200], None), Err(OutOfBufferMemory));
    assert!(ReservedBuffer::with_capacity(&memory, 200).is_err());
    assert_eq!(memory.refusals(), 2);
    drop(buffer);
    assert_eq!(memory.reserved(), 0);
}

#[test]
fn a_buffer_grows_in_large_steps_but_not_beyond_the_expected_length() {
    let memory = memory(usize::MAX);
    let mut buffer = ReservedBuffer::new(&memory);
    for _ in 0..1_000 {
        buffer.extend(&[1; 100], Some(100_000)).unwrap();
    }
    assert_eq!((buffer.len(), memory.reserved()), (100_000, 100_000));
    buffer.extend(&[1; 100], Some(100_000)).unwrap();
    assert_eq!(memory.reserved(), 200_000);
}

#[test]
fn large_buffers_leave_room_for_small_ones() {
    let memory = memory(100 * SMALL_BUFFER_BYTES);
    let large: Vec<ReservedBuffer> = (0..200)
        .map_while(|_| ReservedBuffer::with_capacity(&memory, 2 * SMALL_BUFFER_BYTES).ok())
        .collect();
    let percentage = memory.reserved() * 100 / memory.limit();
    assert!(large.len() > 30 && percentage <= LARGE_BUFFER_PERCENT);
    assert!(ReservedBuffer::with_capacity(&memory, SMALL_BUFFER_BYTES).is_ok());
}

#[test]
fn connections_and_buffers_of_callers_fit_into_the_memory_limit() {
    for memory_mb in [64, 128, 256, 260, 1_024, 16_384] {
        let bounds = bounds(memory_mb, 0);
        let connections = OverloadLimits::within(&bounds).max_connections * CALLER_CONNECTION_BYTES;
        let buffers = BufferMemory::within(&bounds).limit();
        let limit = memory_mb as usize * (1 << 20);
        assert!(connections + buffers <= limit * 6 / 10, "{memory_mb} MB");
    }
    let unlimited = OverloadLimits::within(&bounds(0, 0));
    assert_eq!(unlimited.max_connections, MAX_CALLER_CONNECTIONS);
    assert_eq!(unlimited.receive_window, None);
    assert_eq!(BufferMemory::within(&bounds(0, 0)).limit(), usize::MAX);
}

/// All that callers can make a process hold, with the bytes that are not read yet and those of
/// connections that are not accepted, fits into the limit beside the process itself.
#[test]
fn unread_bytes_fit_into_the_memory_limit_too() {
    for memory_mb in [32, 40, 64, 128, 256, 260, 1_024, 16_384] {
        let bounds = bounds(memory_mb, 0);
        let limits = OverloadLimits::within(&bounds);
        let unread = limits.receive_window.unwrap() * UNREAD_WINDOWS;
        let connections = limits.max_connections * (CALLER_CONNECTION_BYTES + unread);
        let backlogs = LISTENING_PORTS * limits.accept_backlog as usize * unread;
        let buffers = BufferMemory::within(&bounds).limit();
        let limit = memory_mb as usize * (1 << 20);
        let held = PROCESS_BASE_BYTES + connections + backlogs + buffers;
        assert!(held <= limit, "{memory_mb} MB: {held} bytes");
    }
}

#[test]
fn connections_of_callers_leave_descriptors_for_servers_and_files() {
    let max_connections = |files| OverloadLimits::within(&bounds(0, files)).max_connections;
    assert_eq!(max_connections(1_200), 600);
    assert_eq!(max_connections(1), 1);
}

#[test]
fn the_peak_is_read_from_the_status_of_a_process() {
    let status = "Name:\tx\nVmPeak:\t  500000 kB\nVmHWM:\t  266240 kB\nVmRSS:\t 9 kB\n";
    assert_eq!(parse_peak_mb(status), Some(260));
    assert_eq!(parse_peak_mb("Name:\tx\n"), None);
}
