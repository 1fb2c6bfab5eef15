//! The number of proxies by which shares are dealt.

use elderpond_forage::ProxyCount;

#[yare::parameterized(
    fewer_with_a_vouch = { 5, true, 5 },
    none_with_a_vouch = { 0, true, 1 },
    more_with_a_vouch = { 90, true, 90 },
    fewer_from_a_node_that_may_be_cut_off = { 5, false, 74 },
    more_from_a_node_that_may_be_cut_off = { 90, false, 90 },
)]
fn a_node_that_is_cut_off_does_not_widen_the_shares(count: usize, vouched: bool, expected: usize) {
    let known = ProxyCount::default().told(74, true);
    assert_eq!(known.told(count, vouched).get(), expected);
}
