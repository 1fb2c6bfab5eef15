//! What the system says of processes and connections.

use elderpond_scale::usage::{Carried, Ends, connections, memory, ticks};

#[test]
fn given_a_name_with_brackets_when_the_ticks_are_read_then_user_and_system_are_summed() {
    let stat = "71 (a) b (c) S 1 71 71 0 -1 4194560 500 0 0 0 123 45 0 0 20 0 3 0 99 0";
    assert_eq!(ticks(stat), Some(168));
    assert_eq!(ticks("71 (cut off) S 1"), None);
    assert_eq!(ticks(""), None);
}

#[test]
fn given_a_status_when_memory_is_read_then_the_most_and_now_come_out() {
    let status = "Name:\thive\nVmPeak:\t 9 kB\nVmHWM:\t   2048 kB\nVmRSS:\t 1024 kB\n";
    assert_eq!(memory(status), Some((2048, 1024)));
    assert_eq!(memory("Name:\tgone\n"), None);
}

#[test]
fn given_connections_when_read_then_each_end_has_its_bytes() {
    let text = "ESTAB 0 0 127.1.2.11:7540 127.0.0.1:40000 \n\
                \t cubic wscale:7,7 rto:204 bytes_received:900 segs_out:2 lastsnd:4\n\
                ESTAB 0 12 [::1]:80 [::1]:90\n\t cubic bytes_sent:5\n\
                ESTAB 0 0 127.0.0.1:40000 127.1.2.11:7540\n\
                \t cubic bytes_sent:900 bytes_acked:900 segs_out:9\n";
    let all = connections(text);
    assert_eq!(all.len(), 2);
    let (hive, other) = ("127.1.2.11:7540".parse(), "127.0.0.1:40000".parse());
    let (hive, other) = (hive.expect("an address"), other.expect("an address"));
    let here = Ends {
        here: hive,
        there: other,
    };
    let there = Ends {
        here: other,
        there: hive,
    };
    let (sent, received) = (900, 900);
    assert_eq!(all[&here], Carried { sent: 0, received });
    assert_eq!(all[&there], Carried { sent, received: 0 });
}
