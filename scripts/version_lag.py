#!/usr/bin/env python3
"""Tells how long proxies lag behind others with a version of the configuration.

    scripts/version_lag.py OUTPUT...

Each OUTPUT is what `fleetbench run SITE DAY --log front` printed. The lag of a proxy is the longest time for which it had
not put in force a version that another proxy had. A rule is broken only where a request happens to show it, and few
requests go to routes that change, so the lags tell more than the rules do.
"""
import collections
import re
import sys

IN_FORCE = re.compile(r'\s*(-?\d+\.\d+)\s+(front_proxy\S+) .*version r(\d+) is in force')
# The first version comes while the machines start.
FIRST_SECOND = 1.0


def lags(path):
    """The lag of each proxy, in seconds, with the version that it lacked and since when; longest first."""
    first_seen = {}
    put_in_force = collections.defaultdict(list)
    with open(path, errors='replace') as lines:
        for match in filter(None, map(IN_FORCE.match, lines)):
            at, proxy, version = float(match[1]), match[2], int(match[3])
            first_seen[version] = min(first_seen.get(version, at), at)
            put_in_force[proxy].append((at, version))
    end = max((at for all_of_one in put_in_force.values() for at, _ in all_of_one), default=0.0)
    worst = []
    for proxy, history in put_in_force.items():
        longest = (0.0, 0, 0.0)
        for version, since in first_seen.items():
            if since >= FIRST_SECOND:
                had_at = next((at for at, held in history if held >= version), end)
                longest = max(longest, (had_at - since, version, since))
        worst.append((*longest, proxy))
    return sorted(worst, reverse=True)


def main(paths):
    of_all = []
    for path in paths:
        worst = lags(path)
        of_all += [lag for lag, *_ in worst]
        for lag, version, since, proxy in worst[:3]:
            print(f'{path}: {proxy} lacked r{version} for {lag:.2f} s from {since:.2f} s on')
    of_all.sort()
    if of_all:
        at = lambda part: of_all[int((len(of_all) - 1) * part)]
        print(f'{len(of_all)} proxies: median {at(.5):.2f}, 90% {at(.9):.2f}, 99% {at(.99):.2f}, longest {of_all[-1]:.2f} s; '
              f'over 3 s: {sum(lag > 3 for lag in of_all)}')


if __name__ == '__main__':
    main(sys.argv[1:])
