"""What the scripts that draw days share: how a trouble varies, and how a day is written."""
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
      dict(kind='after_ack_wipe',for_s=2.0)]
PLANNED={'release','scale_in','config_change','config_storm','config_race','bad_config','seed_turnover','roll_term'}

def varied(r,t,services):
    """The trouble with its strength, its length and its manner drawn by `r`."""
    t=dict(t); k=t['kind']
    u=r.random
    if k=='node_kill': t=dict(kind=k,on=r.choice(['core','core','front']),count=1,for_s=round(r.uniform(0.5,4),1),how=r.choice(['','power','seed','leader','power leader','leader race','leader race drain','power leader race drain','meet drain','seed race drain','power meet drain']))
    if k=='herd_kill': t=dict(kind=k,share=round(r.uniform(.4,.7),2),for_s=round(r.uniform(1,2.5),1),how=r.choice(['','power','power race drain','race drain']),**({'on':'core'} if u()<.5 else {}))
    if k=='core_cut': t=dict(kind=k,count=1,for_s=round(r.uniform(3,6),1),how=r.choice(['','leader','leader one_way','one_way','leader refuse','leader reset','leader race','leader refuse race','one_way race','leader one_way race drain','refuse drain']))
    if k=='node_cut': t=dict(kind=k,share=round(r.uniform(.15,.5),2),for_s=round(r.uniform(3,6),1),how=r.choice(['','refuse','reset']))
    if k=='roll_term': t=dict(kind=k,share=r.choice([.25,.4,1.0]),how=r.choice(['busy','','busy','remove']),gap_s=round(r.uniform(.5,2),1),**({'on':'core'} if u()<.5 else {}))
    if k=='roll_term' and t['how']=='remove': t['share']=.25; t.pop('on',None)
    if k in('disk_slow','disk_stall','disk_full'): t=dict(t,how=r.choice(['','leader']),for_s=round(r.uniform(3,6),1)); 
    if k=='disk_slow': t['x']=round(r.uniform(10,60),1)
    if k=='garble': t=dict(t,how=r.choice(['','extra','extra late','late']),share=round(r.uniform(.3,1),2),x=round(r.uniform(.01,.06),3)); t['service']=r.choice(services)
    if k=='answer_lost': t=dict(t,how=r.choice(['','reset']),share=round(r.uniform(.3,1),2),x=round(r.uniform(.02,.08),3)); t['service']=r.choice(services)
    if k=='srv_crash': t=dict(t,how=r.choice(['','dark','gone','dark gone']),share=round(r.uniform(.08,.3),2))
    if k=='srv_slow': t=dict(t,x=round(r.uniform(3,8),1))
    if k=='release': t=dict(t,x=r.choice([1.0,2.0]),share=round(r.uniform(.4,1),2),gap_s=round(r.uniform(.6,1.2),1))
    if k=='scale_in': t=dict(t,share=round(r.uniform(.08,.2),2))
    if k=='config_change': t=dict(t,how=r.choice(['route','weights','timeout','idle']))
    if k=='config_storm': t=dict(t,for_s=round(r.uniform(2,5),1),gap_s=round(r.uniform(.08,.4),2),how=r.choice(['','route','weights','idle']))
    if k=='config_race': t=dict(t,count=r.choice([2,3,5]),gap_s=round(r.uniform(.4,1.3),2),how=r.choice(['','route','weights']))
    if k=='bad_config': t=dict(t,how=r.choice(['cut_short','unknown_service','no_attempts','long_timeout','no_weight','old_version']),count=3,gap_s=.6)
    if k in('after_ack_kill','after_ack_wipe'): t=dict(t,for_s=round(r.uniform(1,4),1)); 
    if k=='after_ack_kill': t['how']=r.choice(['','kill'])
    return t

def closing(r):
    """How a day ends, drawn by `r`."""
    return r.choice([dict(kind='power_off_all',down_s=round(r.uniform(.6,1.6),2)),dict(kind='wipe_after_ack',down_s=round(r.uniform(.6,1.6),2),how=r.choice(['','aimed','aimed'])),dict(kind='kill_all',down_s=round(r.uniform(.6,1.6),2))])

def write(path,name,like,seed,close,plan,faults):
    """Writes a day with the load and the floors of `like`, one of the site's own."""
    plan.sort(key=lambda t:t['at']); faults.sort(key=lambda t:t['at'])
    d=dict(name=name,slot=like['slot'],seed=seed,**({'closing':close} if close else {}),one=like['one'],zero=like['zero'],goal=like['goal'],floor_classes=like['floor_classes'],floor_zones=like['floor_zones'],labels=[],wall=2.0,light=False,plan=plan,faults=faults,traffic=like['traffic'])
    with open(path,'w') as f:
        f.write('[[day]]\n'); f.write(''.join(f'{k} = {value(x)}\n' for k,x in d.items()))
