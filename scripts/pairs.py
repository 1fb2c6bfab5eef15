#!/usr/bin/env python3
"""Days of a site that hold each pair of the troubles which its state has to outlive, with each closing; drawn, then played.

    scripts/pairs.py draw SITE.toml FOLDER DAYS SEED
    scripts/pairs.py play FLEETBENCH SITE.toml FOLDER "why" [JOBS]

144 days hold each pair of eight (each with itself too) with each of three closings and none; further ones begin anew
with other strengths, times and manners. The same SEED draws the same days. `play` prints one line a day as it ends,
and a total; its status is 1 if a rule was broken.
"""
import os, random, sys, tomllib
from itertools import combinations_with_replacement as pairs
from days import MORE, PLANNED, closing, play, varied, write
KINDS=['after_ack_kill','after_ack_wipe','seed_turnover','disk_slow','disk_full','disk_stall','core_cut','herd_kill']
CLOSINGS=[None,'power_off_all','wipe_after_ack','kill_all']
CASES=[(a,b,c) for a,b in pairs(KINDS,2) for c in CLOSINGS]

def draw(site,out,days,seed):
    S=tomllib.load(open(site,'rb'))
    known={t['kind']:t for t in MORE+S['troubles']}
    known.setdefault('after_ack_kill',dict(kind='after_ack_kill')); known.setdefault('disk_stall',dict(kind='disk_stall',count=1))
    likes=[d for d in S['day'] if d['slot'] in('scale','trouble')]
    os.makedirs(out,exist_ok=True)
    for i in range(days):
        a,b,c=CASES[i%len(CASES)]
        r=random.Random(seed*100_000+i)
        at=r.uniform(5,13); apart=r.choice([0,r.uniform(0,.3),r.uniform(.3,2),r.uniform(2,9)])
        plan=[dict(at=2.2,kind='config_change',how=r.choice(['idle','timeout'])),dict(at=24.8,kind='config_change',how='route')]
        faults=[]; names=[]
        for kind,when in((a,at),(b,at+apart)):
            t={'at':round(when,2),**varied(r,known[kind],[])}
            if kind=='herd_kill' and r.random()<.5: t['on']='core'
            (plan if kind in PLANNED else faults).append(t); names.append('.'.join([kind,*t.get('how','').split()]))
            # Something has to be acknowledged for it to strike.
            if kind.startswith('after_ack'): plan.append(dict(at=round(when+r.uniform(.05,.8),2),kind='config_change',how=r.choice(['route','weights','idle'])))
        # Something to lose meanwhile.
        start=round(at-r.uniform(0,1),2)
        if r.random()<.6: plan.append(dict(at=start,kind='config_storm',for_s=round(apart+r.uniform(1.5,4),1),gap_s=round(r.uniform(.08,.4),2),how=r.choice(['','route','weights','idle'])))
        else: plan.append(dict(at=start,kind='config_race',count=r.choice([2,3,5]),gap_s=round(r.uniform(.4,1.3),2),how=r.choice(['','route','weights'])))
        if r.random()<.5: plan.append(dict(at=round(at+r.uniform(0,2),2),kind=r.choice(['scale_in','release']),share=.2,gap_s=.6))
        close=c and closing(r,c)
        name=f"{i:03}-"+'+'.join(names+[c or 'none'])
        write(f'{out}/{name}.toml',name,r.choice(likes),r.randrange(1<<30),close,plan,faults)

if sys.argv[1]=='draw': draw(sys.argv[2],sys.argv[3],int(sys.argv[4]),int(sys.argv[5]))
else: sys.exit(not play(*sys.argv[2:]))
