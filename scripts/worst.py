#!/usr/bin/env python3
"""Draws days of a site as hard as the users may play them, plays them, and tells each broken rule.

    scripts/worst.py FLEETBENCH SITE.toml FOLDER DAYS SEED "why" [JOBS [LONGEST_S]]

Of every four days three last as long as the site's own and one up to LONGEST_S seconds (160). Each holds two to four
troubles of state in a manner that is drawn, changes all the while (a storm of hundreds on every second one), workers
that leave, and one of four endings in turn: none, power_off_all, wipe_after_ack, kill_all. The same SEED draws the
same days. JOBS days (4) are played at a time. The status is 1 if a rule was broken or a day not played.
"""
import os, random, sys, tomllib
from days import MORE, PLANNED, closing, play, varied, write
STATE=['after_ack_kill','after_ack_wipe','core_cut','core_cut','disk_full','disk_slow','disk_stall','herd_kill','node_kill','roll_term','seed_turnover']
ENDINGS=[None,'power_off_all','wipe_after_ack','kill_all']

def draw(site,out,days,seed,longest):
    S=tomllib.load(open(site,'rb'))
    known={t['kind']:t for t in MORE+S['troubles']}
    likes=[d for d in S['day'] if d['slot'] in('scale','trouble')]
    os.makedirs(out,exist_ok=True)
    for i in range(days):
        r=random.Random(seed*100_000+i)
        own=S['length_s']
        length=round(r.uniform(own,longest),1) if i%4==3 else own
        calm=length-9 # an ending finds the core whole
        plan=[dict(at=2.2,kind='config_change',how=r.choice(['idle','timeout']))]
        faults=[]; names=[]
        at=r.uniform(4,9)
        for _ in range(r.choice([2,3,3,4])*(1 if length==own else 3)):
            kind=r.choice(STATE)
            t={'at':round(at,2),**varied(r,known[kind],[])}
            if t['at']+t.get('for_s',2)>calm: t['for_s']=round(max(.5,calm-t['at']),1)
            (plan if kind in PLANNED else faults).append(t); names.append('.'.join([kind,*t.get('how','').split()]))
            # What strikes at an acknowledgement needs one.
            for _ in range(r.choice([1,2])): plan.append(dict(at=round(at+r.uniform(.05,3),2),kind='config_change',how=r.choice(['route','weights','idle','timeout'])))
            if r.random()<.4: plan.append(dict(at=round(at+r.uniform(0,3),2),kind='scale_in',share=round(r.uniform(.05,.15),2),how=r.choice(['','spot'])))
            at=min(calm-2,at+r.choice([r.uniform(0,.5),r.uniform(.5,4),r.uniform(4,(length-14)/3)]))
        if i%2:
            start=r.uniform(3,6)
            plan.append(dict(at=round(start,2),kind='config_storm',for_s=round(calm-start,1),gap_s=round(r.uniform(.1,.4),2),how=r.choice(['','route','weights','idle'])))
            names.append('storm')
        if r.random()<.4: plan.append(dict(at=round(r.uniform(4,calm-4),2),kind='config_race',count=r.choice([2,3,5]),gap_s=round(r.uniform(.2,1.3),2),how=r.choice(['','route','weights'])))
        if r.random()<.3: plan.append({'at':round(r.uniform(4,calm-4),2),**varied(r,dict(kind='bad_config'),[])})
        plan.append(dict(at=round(length-6,2),kind='config_change',how='route'))
        kind=ENDINGS[i//4%4] if days>=16 else ENDINGS[i%4]
        close=kind and closing(r,kind)
        name=f"{i:03}-"+('' if length==own else f'{length:.0f}s-')+'+'.join(names)+'+'+(kind or 'none')
        write(f'{out}/{name[:110]}.toml',name[:110],r.choice(likes),r.randrange(1<<30),close,plan,faults,None if length==own else length)

if len(sys.argv)<7: sys.exit(__doc__)
bench,site,out,days,seed,why=sys.argv[1:7]
jobs=sys.argv[7] if len(sys.argv)>7 else '4'
draw(site,out,int(days),int(seed),float(sys.argv[8]) if len(sys.argv)>8 else 160.0)
sys.exit(not play(bench,site,out,why,jobs))
