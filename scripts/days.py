"""What the scripts that draw days share: how a trouble varies, how a day is written, how days are played."""
import concurrent.futures, os, re, subprocess, sys
def value(x):
    """As TOML."""
    if isinstance(x,str): return '"%s"'%x
    if isinstance(x,bool): return str(x).lower()
    if isinstance(x,list): return '['+', '.join(map(value,x))+']'
    if isinstance(x,dict): return '{ '+', '.join(f'{k} = {value(y)}' for k,y in x.items())+' }'
    return repr(x)
# Beside those that a site names.
MORE=[dict(kind='disk_full',count=1,for_s=4.5),
      dict(kind='srv_crash',share=.14,for_s=4.5,how='dark'),
      dict(kind='srv_slow',share=.16,x=5.0,for_s=6.5),
      dict(kind='seed_turnover'),
      dict(kind='roll_term',gap_s=1.0),
      dict(kind='core_cut',for_s=4.0,how='leader race'),
      dict(kind='node_kill'),
      dict(kind='herd_kill'),
      dict(kind='after_ack_kill',for_s=2.0),
      dict(kind='after_ack_wipe',for_s=2.0),
      dict(kind='disk_slow',count=1,x=30.0,for_s=4.5),
      dict(kind='disk_stall',count=1,for_s=4.5)]
PLANNED={'release','scale_in','config_change','config_storm','config_race','bad_config','seed_turnover','roll_term','scale_out','big_config','hup'}

def varied(r,t,services):
    """The trouble with its strength, its length and its manner drawn by `r`."""
    t=dict(t); k=t['kind']
    u=r.random
    def met(first):
        """A machine's manner: which one, and what meets it as it comes back or while it is cut off."""
        how=[first,r.choice(['','','leader','reader','seed'])]
        if u()<.5: how+=r.choice([['meet'],['race'],['meet','hard'],['race','hard']])
        if u()<.3: how.append('drain')
        return ' '.join(it for it in how if it)
    if k=='node_kill': t=dict(kind=k,on=r.choice(['core','core','front']),count=1,for_s=round(r.uniform(0.5,4),1),how=met(r.choice(['','power'])))
    if k=='herd_kill': t=dict(kind=k,share=round(r.uniform(.4,.7),2),for_s=round(r.uniform(1,2.5),1),how=r.choice(['','power','power race drain','race drain','power taken']),**({'on':'core'} if u()<.5 else {}))
    if k=='core_cut': t=dict(kind=k,count=r.choice([1,2]),for_s=round(r.choice([r.uniform(3,6),r.uniform(8,20)]),1),how=met(r.choice(['','one_way','seeds','both','refuse','reset','one_way refuse'])))
    if k=='node_cut': t=dict(kind=k,share=round(r.uniform(.15,.5),2),for_s=round(r.uniform(3,6),1),how=r.choice(['','refuse','reset','servers','servers reset']))
    if k=='roll_term': t=dict(kind=k,share=r.choice([.25,.4,1.0]),how=r.choice(['busy','','busy','remove']),gap_s=round(r.uniform(.5,2),1),**({'on':'core'} if u()<.5 else {}))
    if k=='roll_term' and t['how']=='remove': t['share']=.25; t.pop('on',None)
    if k in('disk_slow','disk_stall','disk_full'): t=dict(t,how=r.choice(['','leader']),for_s=round(r.uniform(3,6),1)); 
    if k=='disk_slow': t['x']=round(r.uniform(10,60),1)
    if k=='garble': t=dict(t,how=r.choice(['','extra','extra late','late']),share=round(r.uniform(.3,1),2),x=round(r.uniform(.01,.06),3)); t['service']=r.choice(services)
    if k=='answer_lost': t=dict(t,how=r.choice(['','reset']),share=round(r.uniform(.3,1),2),x=round(r.uniform(.02,.08),3)); t['service']=r.choice(services)
    if k=='srv_crash': t=dict(t,how=r.choice(['','dark','gone','dark gone']),share=round(r.uniform(.08,.3),2))
    if k=='srv_slow': t=dict(t,x=round(r.uniform(3,8),1))
    if k=='release': t=dict(t,x=r.choice([1.0,2.0]),share=round(r.uniform(.4,1),2),gap_s=round(r.uniform(.6,1.2),1))
    if k=='scale_in': t=dict(t,share=round(r.uniform(.08,.2),2),how=r.choice(['','','spot']))
    if k=='config_change': t=dict(t,how=r.choice(['route','weights','timeout','idle']))
    if k=='config_storm': t=dict(t,for_s=round(r.uniform(2,5),1),gap_s=round(r.uniform(.08,.4),2),how=r.choice(['','route','weights','idle']))
    if k=='config_race': t=dict(t,count=r.choice([2,3,5]),gap_s=round(r.uniform(.4,1.3),2),how=r.choice(['','route','weights']))
    if k=='bad_config': t=dict(t,how=r.choice(['cut_short','unknown_service','no_weight','no_timeout','same_place','old_version','same_version','stale_match','shared_key']),count=3,gap_s=.6)
    if k in('after_ack_kill','after_ack_wipe'): t=dict(t,for_s=round(r.uniform(1,4),1)); 
    if k=='after_ack_kill': t['how']=r.choice(['','kill','timed','kill timed','taken'])
    if k=='after_ack_wipe': t['how']=r.choice(['','timed'])
    return t

def closing(r,kind=None):
    """How a day ends, drawn by `r`: in this way, if one is named."""
    k=kind or r.choice(['power_off_all','wipe_after_ack','kill_all'])
    how=r.choice(['','timed','aimed','aimed timed'] if k=='wipe_after_ack' else ['','timed'])
    return dict(kind=k,down_s=round(r.uniform(.6,1.6),2),**({'how':how} if how else {}))

def write(path,name,like,seed,close,plan,faults,length_s=None):
    """Writes a day with the load and the floors of `like`, one of the site's own; it lasts as long unless told."""
    plan.sort(key=lambda t:t['at']); faults.sort(key=lambda t:t['at'])
    d=dict(name=name,slot=like['slot'],seed=seed,**({'length_s':length_s} if length_s else {}),**({'closing':close} if close else {}),one=like['one'],zero=like['zero'],goal=like['goal'],floor_classes=like['floor_classes'],floor_zones=like['floor_zones'],labels=[],wall=2.0,light=False,plan=plan,faults=faults,traffic=like['traffic'])
    with open(path,'w') as f:
        f.write('[[day]]\n'); f.write(''.join(f'{k} = {value(x)}\n' for k,x in d.items()))

RULES='MIXED|UNASKED|TWICE|REFUSED|DENIED|ROUTE|DRAIN|LOST|GONE|CONFIG|BUDGET|RECOVER|Starved|Acks|Fault|FAULT'

def scored(name,text):
    return re.search(r'^'+re.escape(name)+r'\s+\d+/\d+\s+(-?\d+\.\d+)',text,re.M)

def one(bench,site,folder,file,why,jobs):
    said=subprocess.run([bench,'run',site,f'{folder}/{file}','--why',why,'--jobs',jobs],capture_output=True,text=True)
    return file[:-5],said.stdout+said.stderr

def play(bench,site,folder,why,jobs='3'):
    """Plays each day of the folder once, so many at a time; one line a day, what was said of a broken one beside
    it, and a total. A day without a score counts as not played, and is not played again. Whether all held."""
    files=sorted(f for f in os.listdir(folder) if f.endswith('.toml'))
    broken=[]; unplayed=[]; scores={}
    with concurrent.futures.ThreadPoolExecutor(int(jobs)) as pool:
        for done in concurrent.futures.as_completed([pool.submit(one,bench,site,folder,f,why,jobs) for f in files]):
            name,text=done.result()
            score=scored(name,text)
            rules=sorted(set(re.findall(r'\b('+RULES+r')\b',text)))
            if score: scores[name]=float(score[1])
            else: unplayed.append(name)
            if rules: broken.append((name,rules))
            print(f"{score[1] if score else 'not played':10} {' '.join(rules) or 'ok' if score else '':8} {name}",flush=True)
            if rules or not score: open(f'{folder}/{name}.said','w').write(text)
    for name,rules in broken: print(f"broken: {' '.join(rules)} on {name}; see {folder}/{name}.said")
    low=[n for n,s in scores.items() if s<.6]; known=list(scores.values())
    print(f"{len(files)} days, mean {sum(known)/max(1,len(known)):.3f}, lowest {min(known,default=0):.3f}; under 0.6: {len(low)}; broken: {len(broken)}; not played: {len(unplayed)}")
    return not broken and not unplayed
