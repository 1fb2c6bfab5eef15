//! What is said of processes by what they were seen to use.

use super::resources::{Resources, Usage};

const USUAL: Usage = Usage {
    memory_mb: 20,
    descriptors: 50,
    threads: 3,
};

/// A process that used so much in its first minute, and so much in the next.
fn seen(early: Usage, late: Usage) -> bool {
    let resources = Resources::default();
    (0..60).for_each(|_| resources.note("proxy-1", 7, early));
    (0..60).for_each(|_| resources.note("proxy-1", 7, late));
    resources.check().held
}

#[test]
fn a_process_that_uses_what_it_may_is_in_order() {
    assert!(seen(USUAL, USUAL));
    assert!(Resources::default().check().held);
}

#[test]
fn a_process_beyond_its_limits_is_found() {
    let heavy = Usage {
        memory_mb: 261,
        ..USUAL
    };
    assert!(!seen(heavy, heavy));
    let open = Usage {
        descriptors: 4101,
        ..USUAL
    };
    assert!(!seen(open, open));
}

#[test]
fn a_process_that_grows_is_found() {
    let grown = [
        Usage {
            memory_mb: 47,
            ..USUAL
        },
        Usage {
            descriptors: 176,
            ..USUAL
        },
        Usage {
            threads: 9,
            ..USUAL
        },
    ];
    assert!(grown.iter().all(|grown| !seen(USUAL, *grown)));
    let another = Resources::default();
    (0..60).for_each(|_| another.note("proxy-1", 7, USUAL));
    another.note("proxy-1", 8, grown[0]);
    assert!(another.check().held, "another life begins anew");
}
