#!/usr/bin/env python3
"""Draws days of any trouble that the bench knows, at any second, plays them, and shrinks each that breaks a rule.

    scripts/draw_days.py FLEETBENCH SITE.toml FOLDER DAYS SEED "why" [--jobs N] [--longest S] [--shrink N]
                         [--only KIND,KIND..] [--cpu] [--big N] [--shortest S]

Days last 30 to LONGEST seconds (160). Each has storms of changes (hundreds on the long ones), workers that leave, two
to nine troubles of any kind in a manner that is drawn, at any second, often several close together, and each ending in
turn. The same SEED draws the same days. Processor time is not counted unless --cpu is given, so that a day repeats.
With --big, each day has two to N times a configuration that grows by hundreds or thousands of routes, workers that leave
each few seconds, a burst and a storm of changes.

Printed are the rules broken and what was seen of them. A day that broke one is played again without one entry after
the other (at most --shrink plays, 40), as long as the same rule breaks; what is left is written beside it as NAME.min.
The status is 1 if a rule was broken or a day not played.
"""
import argparse
import concurrent.futures
import os
import random
import re
import subprocess
import sys
import tomllib

from days import PLANNED, RULES, scored, write

CHANGES = ['route', 'weights', 'timeout', 'idle']
BAD = ['cut_short', 'unknown_service', 'same_place', 'no_weight', 'no_timeout', 'old_version', 'same_version',
       'stale_match', 'shared_key']
ENDINGS = [None, 'power_off_all', 'wipe_after_ack', 'kill_all']


def which_machine(r, *first):
    """How a machine is chosen, and what meets it as it comes back."""
    how = [r.choice(first), r.choice(['', '', 'leader', 'reader', 'seed', 'turn'])]
    if r.random() < .5:
        how += r.choice([['meet'], ['race'], ['meet', 'hard'], ['race', 'hard']])
    if r.random() < .35:
        how.append('drain')
    return ' '.join(word for word in how if word)


def span(r, low, high):
    return round(r.uniform(low, high), 1)


# What draws the fields of each kind but `at` and `kind`.
TROUBLES = {
    'replace_core': lambda r: dict(x=span(r, .2, 3), how=r.choice(['', '', 'oldest', 'planned'])),
    'after_ack_kill': lambda r: dict(for_s=span(r, .5, 4), how=r.choice(['', 'kill', 'timed', 'kill timed', 'taken'])),
    'after_ack_wipe': lambda r: dict(for_s=span(r, .5, 4), how=r.choice(['', 'timed', 'oldest'])),
    'core_cut': lambda r: dict(count=r.choice([1, 2]), for_s=r.choice([span(r, 2, 6), span(r, 8, 20)]), how=which_machine(
        r, '', 'one_way', 'seeds', 'both', 'refuse', 'reset', 'lure', 'near', 'all', 'oldest', 'one_way lure')),
    'node_cut': lambda r: dict(share=span(r, .1, .5), for_s=span(r, 2, 7),
                               how=r.choice(['', 'refuse', 'reset', 'all', 'servers'])),
    'node_kill': lambda r: dict(on=r.choice(['core', 'core', 'front']), count=1, for_s=span(r, .3, 4),
                                how=which_machine(r, '', 'power')),
    'herd_kill': lambda r: dict(share=span(r, .4, .8), for_s=span(r, .6, 2.5), how=r.choice(
        ['', 'power', 'race drain', 'power taken']), **(dict(on='core') if r.random() < .5 else {})),
    'roll_term': lambda r: dict(share=r.choice([.25, .5, 1.0]), how=r.choice(['', 'busy']), gap_s=span(r, .5, 2),
                                x=r.choice([1.0, 2.0]), **(dict(on='core') if r.random() < .5 else {})),
    'seed_turnover': lambda r: dict(),
    'node_freeze': lambda r: dict(on=r.choice(['core', 'front']), count=1, for_s=span(r, .5, 6)),
    'node_slow': lambda r: dict(on=r.choice(['core', 'front']), count=1, x=span(r, 2, 8), for_s=span(r, 2, 6)),
    'clock_step': lambda r: dict(share=span(r, .2, 1), x=r.choice([500.0, 2000.0, 60000.0]), for_s=span(r, 2, 8),
                                 how=r.choice(['back', 'ahead'])),
    'reset_conns': lambda r: dict(share=span(r, .1, 1), x=span(r, .3, 1),
                                  **(dict(on='core') if r.random() < .5 else {})),
    'disk_full': lambda r: dict(count=1, for_s=span(r, 2, 7), how=r.choice(['', 'leader'])),
    'disk_slow': lambda r: dict(count=1, x=span(r, 10, 60), for_s=span(r, 2, 7), how=r.choice(['', 'leader'])),
    'disk_stall': lambda r: dict(count=1, for_s=span(r, 2, 7), how=r.choice(['', 'leader'])),
    'ack_lost': lambda r: dict(x=span(r, .3, .9), for_s=span(r, 2, 10)),
    'config_race': lambda r: dict(count=r.choice([2, 3, 5]), gap_s=span(r, .2, 1.3),
                                  how=r.choice(['', 'route', 'weights'])),
    'bad_config': lambda r: dict(how=r.choice(BAD), count=3, gap_s=span(r, .2, .8)),
    'big_config': lambda r: dict(count=r.choice([100, 400, 1200])),
    'hup': lambda r: dict(share=span(r, .3, 1), gap_s=span(r, .5, 3)),
    'scale_in': lambda r: dict(share=span(r, .1, .2), how=r.choice(['', 'spot'])),
    'scale_out': lambda r: dict(share=.2, gap_s=2.0),
    'release': lambda r: dict(share=span(r, .2, .6), x=r.choice([1.0, 2.0, 5.0]), gap_s=span(r, .5, 1.5)),
    'replace_with_reuse': lambda r: dict(share=span(r, .1, .2), how=r.choice(['drain', 'dark', ''])),
    'srv_crash': lambda r: dict(share=span(r, .1, .2), for_s=span(r, 2, 5), how=r.choice(['', 'dark', 'gone'])),
    'srv_slow': lambda r: dict(share=.15, x=span(r, 3, 6), for_s=span(r, 3, 7)),
    'srv_flap': lambda r: dict(share=.1, gap_s=span(r, .8, 2), for_s=span(r, 3, 7)),
    'srv_grey': lambda r: dict(share=.15, x=.4, for_s=span(r, 3, 7), how=r.choice(['errors', 'hang', 'reset'])),
    'idle_race': lambda r: dict(share=.5, x=300.0, for_s=span(r, 3, 7)),
    'answer_lost': lambda r: dict(share=.5, x=.04, for_s=span(r, 3, 7), how=r.choice(['', 'reset'])),
    'garble': lambda r: dict(share=.5, x=.03, for_s=span(r, 3, 7), how=r.choice(['', 'extra', 'extra late'])),
    'burst': lambda r: dict(x=1.5, for_s=3.0),
    'give_up': lambda r: dict(share=span(r, .3, 1), for_s=span(r, 4, 20), **({'x': span(r, 20, 400)} if r.random() < .5 else {})),
    'retry_abuse': lambda r: dict(share=span(r, .1, .5), x=1.0, for_s=span(r, 2, 6)),
}
# Kinds of the core and of changes come more often.
OFTEN = ['replace_core', 'after_ack_kill', 'after_ack_wipe', 'core_cut', 'core_cut', 'node_kill', 'herd_kill', 'roll_term',
         'seed_turnover', 'node_freeze', 'config_race', 'bad_config', 'disk_stall', 'scale_in', 'release']


def moments(r, length, calm):
    """When troubles begin: any second, often several close together."""
    at = r.uniform(3, 9)
    while at < calm:
        yield at
        at += r.choice([r.uniform(0, .5), r.uniform(.5, 4), r.uniform(3, 8), r.uniform(6, max(7, length / 8))])


def ending(r, kind):
    if kind is None:
        return None
    hows = ['', 'timed', 'taken'] if kind != 'wipe_after_ack' else ['', 'timed', 'oldest']
    how = r.choice(hows)
    return dict(kind=kind, down_s=span(r, .6, 1.8), **(dict(how=how) if how else {}))


def known_kinds(bench, site):
    """The kinds of trouble that may come on a site, by the bench's own list."""
    listed = subprocess.run([bench, 'kinds', site], capture_output=True, text=True, check=True).stdout
    listed = set(re.findall(r'^(\w+): ', listed, re.M))
    return sorted(kind for kind in TROUBLES if kind in listed)


def big(r, most, calm):
    """Planned work of a day with many routes, and a burst."""
    plan = [dict(at=span(r, 1, calm / 2), kind='big_config', count=r.choice([200, 1400, 1400, 2800])) for _ in
            range(r.randint(2, most))]
    at = r.uniform(3, 6)
    while at < calm:
        plan.append(dict(at=round(at, 2), kind='scale_in', share=span(r, .02, .1) or .02))
        at += r.uniform(2, 9)
    plan.append(dict(at=2.0, kind='config_storm', for_s=round(calm - 2, 1), gap_s=r.choice([.1, .15, .3, .6]), how='route'))
    return plan, [dict(at=span(r, 5, calm - 5), kind='burst', x=r.choice([1.5, 1.8]), for_s=4.0)]


def draw(known, index, seed, longest, only, bigs=0, shortest=30):
    """One day: its name, how it is closed, its length, its planned work and its troubles."""
    r = random.Random(seed * 100_000 + index)
    length = span(r, shortest, longest)
    calm = length - r.choice([6, 9, 14])
    plan, faults, names = [], [], []
    kinds = only or [kind for kind in OFTEN if kind in known] + known
    wanted = r.randint(2, 4) if length < 60 else r.randint(4, 9)
    for at in sorted(r.sample(list(moments(r, length, calm)) * 3, k=wanted)):
        kind = r.choice(kinds)
        entry = {'at': round(at, 2), 'kind': kind, **TROUBLES[kind](r)}
        entry = {field: value for field, value in entry.items() if value != ''}
        if entry['at'] + entry.get('for_s', 0) > calm:
            entry['for_s'] = round(max(.5, calm - entry['at']), 1)
        (plan if kind in PLANNED else faults).append(entry)
        names.append(kind)
        for _ in range(r.choice([0, 1, 2])):
            plan.append(dict(at=round(at + r.uniform(.02, 3), 2), kind='config_change', how=r.choice(CHANGES)))
        if r.random() < .4:
            plan.append(dict(at=round(at + r.uniform(0, 3), 2), kind='scale_in', share=.1))
    if r.random() < .75:
        start = r.uniform(2, 8)
        gap = r.choice([span(r, .1, .5), span(r, .3, 1)])
        storm = dict(at=round(start, 2), kind='config_storm', for_s=round(calm - start, 1), gap_s=gap)
        plan.append({**storm, 'how': r.choice(['route', 'route', 'weights', 'idle'])})
        names.append('storm')
    if bigs:
        more_plan, more_faults = big(r, bigs, calm)
        plan, faults = plan + more_plan, faults + more_faults
        names.append('big')
    plan.append(dict(at=round(length - r.uniform(4, 6), 2), kind='config_change', how='route'))
    closing = ending(r, ENDINGS[index % 4])
    name = f"{seed}-{index:03}-{length:.0f}s-" + '+'.join(names) + '+' + (closing['kind'] if closing else 'none')
    return name[:110], closing, length, plan, faults


def play(options, path, why):
    command = [options.bench, 'run', options.site, path, '--why', why, '--jobs', '1', '--day-cap', '900']
    if not options.cpu:
        command.append('--no-cpu')
    said = subprocess.run(command, capture_output=True, text=True)
    return said.stdout + said.stderr


def broken(text):
    """The rules that a day broke, by its own line of them."""
    said = ' '.join(re.findall(r'^(?:rules broken|gate):? ?(.*)$', text, re.M)) + ' '.join(re.findall(r'BROKEN: (.*)', text))
    return sorted(set(re.findall(r'\b(' + RULES + r')\b', said)))


class Day:
    def __init__(self, options, site, known, index):
        self.options, self.site = options, site
        r = random.Random(options.seed * 7 + index)
        likes = [day for day in site['day'] if day['slot'] in ('scale', 'trouble')]
        self.like, self.luck = r.choice(likes), r.randrange(1 << 30)
        self.name, self.closing, self.length, self.plan, self.faults = draw(
            known, index, options.seed, options.longest, options.only, options.big, options.shortest)

    def put(self, path, plan, faults):
        write(path, self.name, self.like, self.luck, self.closing, list(plan), list(faults), self.length)

    def played(self):
        path = f'{self.options.folder}/{self.name}.toml'
        self.put(path, self.plan, self.faults)
        text = play(self.options, path, self.options.why)
        rules = broken(text)
        score = scored(self.name, text)
        if rules or not score:
            with open(f'{self.options.folder}/{self.name}.said', 'w') as said:
                said.write(text)
        if rules and self.options.shrink:
            self.shrunk(rules[0])
        return self.name, rules, score and float(score[1]), text

    def shrunk(self, rule):
        """Drops what is not needed for that rule to break."""
        entries = [('plan', entry) for entry in self.plan] + [('fault', entry) for entry in self.faults]
        plays, size = self.options.shrink, max(1, len(entries) // 2)
        path = f'{self.options.folder}/{self.name}.min'
        while plays > 0:
            dropped = False
            for start in range(0, len(entries), size):
                left = entries[:start] + entries[start + size:]
                if plays <= 0 or not left:
                    break
                plays -= 1
                self.put(path, [e for k, e in left if k == 'plan'], [e for k, e in left if k == 'fault'])
                if rule in broken(play(self.options, path, f'shrinking a drawn day that breaks {rule}')):
                    entries, dropped = left, True
                    break
            if not dropped:
                if size == 1:
                    break
                size = max(1, size // 2)
        self.put(path, [e for k, e in entries if k == 'plan'], [e for k, e in entries if k == 'fault'])


def told(text):
    """What was seen of each broken rule, a few lines."""
    return re.findall(r'^(?:' + RULES + r') at .*$', text, re.M)[:3]


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    for name, kind in [('bench', str), ('site', str), ('folder', str), ('days', int), ('seed', int), ('why', str)]:
        parser.add_argument(name, type=kind)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--longest', type=float, default=160.0)
    parser.add_argument('--shrink', type=int, default=40)
    parser.add_argument('--only', type=lambda text: text.split(','))
    parser.add_argument('--cpu', action='store_true')
    parser.add_argument('--big', type=int, default=0)
    parser.add_argument('--shortest', type=float, default=30.0)
    options = parser.parse_args()
    os.makedirs(options.folder, exist_ok=True)
    site = tomllib.load(open(options.site, 'rb'))
    known = known_kinds(options.bench, options.site)
    days = [Day(options, site, known, index) for index in range(options.days)]
    failed, unplayed, scores = 0, 0, []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for done in concurrent.futures.as_completed([pool.submit(day.played) for day in days]):
            name, rules, score, text = done.result()
            failed, unplayed = failed + bool(rules), unplayed + (score is None)
            scores += [score] if score is not None else []
            print(f"{score if score is not None else 'not played'!s:10} {' '.join(rules) or 'ok':8} {name}", flush=True)
            for line in told(text):
                print('    ' + line, flush=True)
    mean = sum(scores) / max(1, len(scores))
    print(f'{options.days} days from seed {options.seed}: mean {mean:.3f}, broken {failed}, not played {unplayed}')
    sys.exit(1 if failed or unplayed else 0)


if __name__ == '__main__':
    main()
