#!/usr/bin/env python3
"""Draws days of a site that mix several of its troubles with a closing, at the load of its scale days.

    scripts/mixes.py SITE.toml FOLDER DAYS SEED
    for day in FOLDER/*.toml; do FLEETBENCH run SITE.toml "$day" --why "..."; done

The same SEED draws the same days. A day that breaks a rule says `rules broken`.
"""
import os, random, sys, tomllib
from days import MORE, PLANNED, closing, varied, write
site,out,n,seed=sys.argv[1],sys.argv[2],int(sys.argv[3]),int(sys.argv[4])
r=random.Random(seed)
S=tomllib.load(open(site,'rb'))
day=[d for d in S['day'] if d['slot']=='scale'][0]
os.makedirs(out,exist_ok=True)
svcs=[s['name'] for s in S['services']]
base=S['troubles']+MORE
for i in range(n):
    m=r.choice([3,4,5,6])
    plan=[dict(at=2.2,kind='config_change',how=r.choice(['idle','timeout'])),
          dict(at=24.8,kind='config_change',how='timeout'),dict(at=24.8,kind='scale_in',share=.13)]
    faults=[]; names=[]
    at0=r.uniform(5,14); tight=r.random()<.5
    for j in range(m):
        t=varied(r,r.choice(base),svcs); k=t['kind']; names.append(k+('-'+t.get('how','').replace(' ','.') if t.get('how') else ''))
        t={'at':round(at0+(r.uniform(0,1.5) if tight else r.uniform(0,10)),2),**t}
        (plan if k in PLANNED else faults).append(t)
        if k.startswith('after_ack'):
            for e in range(3): plan.append(dict(at=round(t['at']+.3+e*r.uniform(.4,1.5),2),kind='config_change',how=r.choice(['idle','route','weights','timeout'])))
    if r.random()<.7: # config and drains amid
        a=at0+r.uniform(0,5); plan.append(dict(at=round(a,2),kind='config_change',how=r.choice(['route','weights']))); plan.append(dict(at=round(a+r.uniform(-.3,.3),2),kind='scale_in',share=.1)); plan.append(dict(at=round(a+r.uniform(-1,3),2),kind='release',share=.3,x=2.0,gap_s=.5))
    c=closing(r)
    name=f"{seed}-{i}-"+'+'.join(names)+'+'+c['kind']
    write(f'{out}/{name[:110]}.toml',name,day,r.randrange(1<<30),c,plan,faults)
