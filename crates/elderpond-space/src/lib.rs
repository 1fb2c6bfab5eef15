//! Room that is kept for each tenant's urgent work, without I/O.
//!
//! A bee space is the gap that bees leave free, so that everyone can pass. Here it is room in something
//! that is counted and can't be taken back: memory for bodies, connections, requests in hand. This is
//! trunk reservation: whoever asks is let in if, after it, what is kept for the others is still free.
//!
//! *What is kept.* Half of the capacity is shared out among the tenants by weight: their guarantee. Of its
//! guarantee a tenant's first rank has one half, each further rank an eighth; the rest is for any of its
//! ranks. The other half of the capacity is anybody's.
//!
//! *What is lent.* A guarantee that is not asked for is lent: kept are a quarter of it and, beyond that,
//! twice what was held or asked for at most in the last ten to twenty seconds. So who comes back finds
//! a quarter at once, whatever others want back meanwhile; and as what it asks for counts double, the whole
//! is kept as soon as it uses half.
//!
//! *The bound.* Once a tenant asks, nothing more of its guarantee is lent. It has all of it when those who
//! borrowed have ended, at the latest after the longest time that anybody may hold room (a request's
//! deadline). No rank and no tenant can be kept from its part for longer, whoever asks how often.

#![deny(missing_docs)]

/// Milliseconds on a steady clock.
pub type Millis = u64;

/// Ranks that are told apart; lower ones count as the last of these.
pub const RANKS: usize = 4;
/// Tenants that are told apart; those beyond share the last one's room.
pub const TENANTS: usize = 256;

/// The part of the capacity that is guaranteed to tenants: one in this many.
const GUARANTEED: u64 = 2;
/// The part of a guarantee that is kept though nobody asks for it: one in this many.
const FLOOR: u64 = 4;
/// The parts of a tenant's guarantee that its ranks have, in eighths.
const EIGHTHS: [u64; RANKS] = [4, 1, 1, 1];
/// What was held or asked for is remembered for this long at least, and twice as long at most (ms).
const REMEMBERED: Millis = 10_000;

/// A tenant, as far as room goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its part of what is guaranteed, against the other tenants' weights; 0 for one that is gone.
    pub weight: u32,
    /// How many ranks its routes have, 1 to [`RANKS`].
    pub ranks: usize,
}

impl Tenant {
    /// One that is in no configuration any more. What it holds still counts.
    pub const GONE: Self = Self {
        weight: 0,
        ranks: 1,
    };
}

/// Which place each tenant has in the list, by its name. A place is given to another only when
/// whoever had it can hold nothing any more.
#[derive(Clone, Debug)]
pub struct Places {
    names: Vec<(String, Option<Millis>)>,
    longest: Millis,
}

impl Places {
    /// Room is held for `longest` milliseconds at the most.
    #[must_use]
    pub fn new(longest: Millis) -> Self {
        Self {
            names: Vec::new(),
            longest,
        }
    }

    /// The place of each of these, in their order; those beyond [`TENANTS`] have the last place.
    /// Names that are not among them are gone from now on.
    pub fn assign(&mut self, now: Millis, names: &[&str]) -> Vec<usize> {
        for (name, gone) in &mut self.names {
            match names.contains(&name.as_str()) {
                true => *gone = None,
                false => *gone = gone.or(Some(now)),
            }
        }
        names.iter().map(|name| self.place(now, name)).collect()
    }

    fn place(&mut self, now: Millis, name: &str) -> usize {
        if let Some(at) = self.names.iter().position(|(other, _)| other == name) {
            return at;
        }
        let longest = self.longest;
        let free =
            |(_, gone): &(String, Option<Millis>)| gone.is_some_and(|it| now >= it + longest);
        let entry = (name.to_owned(), None);
        if let Some(at) = self.names.iter().position(free) {
            self.names[at] = entry;
            return at;
        }
        if self.names.len() < TENANTS {
            self.names.push(entry);
        }
        self.names.len() - 1
    }

    /// How many places there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether nobody has a place.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// For whom room is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Party {
    /// The tenant's place in the list that [`Space::new`] got.
    pub tenant: usize,
    /// 0 is the most urgent.
    pub rank: usize,
}

/// The most that was held or asked for lately, by two spans of time.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    since: Millis,
    now: u64,
    before: u64,
}

impl Peak {
    fn at(&mut self, now: Millis, held: u64) -> u64 {
        let spans = now.saturating_sub(self.since) / REMEMBERED;
        if spans > 0 {
            self.before = if spans == 1 { self.now } else { 0 };
            self.now = 0;
            self.since += spans * REMEMBERED;
        }
        self.now = self.now.max(held);
        self.now.max(self.before)
    }
}

/// Room that is held by, and kept for, a tenant or one of its ranks.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    guarantee: u64,
    held: u64,
    peak: Peak,
    /// Kept for it beside what it holds: of its floor alone, and of all that it wants.
    kept: [u64; 2],
}

/// What is always free, whoever borrowed what.
const FLOORS: usize = 0;
/// What is free once those who borrowed have ended.
const WANTED: usize = 1;

impl Account {
    /// `asked` is held or asked for now.
    fn settle(&mut self, now: Millis, asked: u64) {
        let peak = self.peak.at(now, asked);
        let floor = self.guarantee / FLOOR;
        let wanted = floor.max(2 * peak).min(self.guarantee);
        self.kept = [floor, wanted].map(|kept| kept.saturating_sub(self.held));
    }
}

#[derive(Clone, Debug, Default)]
struct Tenancy {
    all: Account,
    ranks: [Account; RANKS],
    last: usize,
}

impl Tenancy {
    fn kept(&self, which: usize) -> u64 {
        let by_rank: u64 = self.ranks.iter().map(|rank| rank.kept[which]).sum();
        self.all.kept[which].max(by_rank)
    }

    fn kept_from(&self, rank: usize, which: usize) -> u64 {
        let kept: u64 = self.ranks.iter().map(|rank| rank.kept[which]).sum();
        kept - self.ranks[rank].kept[which]
    }
}

/// Something that is counted, and who holds how much of it.
#[derive(Clone, Debug)]
pub struct Space {
    capacity: u64,
    held: u64,
    /// The sums of what is kept for all tenants.
    kept: [u64; 2],
    tenants: Vec<Tenancy>,
    /// Whose memory of what was asked for is looked at next.
    turn: usize,
}

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// All is held.
    Full,
    /// What is free is kept for other tenants.
    KeptForOthers,
    /// What is free is kept for other ranks of the same tenant.
    KeptForRank,
}

impl Space {
    /// Of `capacity`, for these tenants.
    #[must_use]
    pub fn new(capacity: u64, tenants: &[Tenant]) -> Self {
        let mut space = Self {
            capacity,
            held: 0,
            kept: [0; 2],
            tenants: Vec::new(),
            turn: 0,
        };
        space.share_out(0, tenants);
        space
    }

    /// Other tenants, by another version of the configuration. Whoever holds something keeps its place: see
    /// [`Places`]. The list is no shorter than the one before.
    pub fn share_out(&mut self, now: Millis, tenants: &[Tenant]) {
        let most = tenants.len().clamp(1, TENANTS).max(self.tenants.len());
        self.tenants.resize_with(most, Tenancy::default);
        let sum: u64 = tenants.iter().map(|it| u64::from(it.weight)).sum();
        let alone = tenants.iter().filter(|it| it.weight > 0).count() <= 1;
        let shared = u128::from(self.capacity / GUARANTEED);
        for (at, tenancy) in self.tenants.iter_mut().enumerate() {
            let told = tenants.get(at).copied().unwrap_or(Tenant::GONE);
            let part = shared * u128::from(told.weight) / u128::from(sum.max(1));
            let guarantee = part as u64; // a part of a u64
            // nothing has to be kept for one who is alone
            tenancy.all.guarantee = if alone { 0 } else { guarantee };
            let last = told.ranks.clamp(1, RANKS) - 1;
            // what ranks that are no more hold is the last one's
            for rank in last + 1..RANKS {
                let held = std::mem::take(&mut tenancy.ranks[rank].held);
                tenancy.ranks[last].held += held;
            }
            tenancy.last = last;
            for (rank, account) in tenancy.ranks.iter_mut().enumerate() {
                let told = rank <= tenancy.last && tenancy.last > 0;
                account.guarantee = if told {
                    guarantee / 8 * EIGHTHS[rank]
                } else {
                    0
                };
            }
        }
        for at in 0..self.tenants.len() {
            self.settle(now, at);
        }
    }

    /// Takes room, if there is any for this party.
    ///
    /// # Errors
    ///
    /// Why there is none; nothing is taken then.
    pub fn take(&mut self, now: Millis, party: Party, amount: u64) -> Result<(), Refusal> {
        self.ask(now, party, amount)?;
        self.hold(now, party, amount);
        Ok(())
    }

    /// Asks whether there is room for this party, which counts as asked for.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn ask(&mut self, now: Millis, party: Party, amount: u64) -> Result<(), Refusal> {
        let (at, rank) = self.place(party);
        self.look_on(now);
        let tenant = &mut self.tenants[at];
        tenant.all.peak.at(now, tenant.all.held + amount);
        let account = &mut tenant.ranks[rank];
        account.peak.at(now, account.held + amount);
        self.settle(now, at);
        let tenant = &self.tenants[at];
        let free = self.capacity.saturating_sub(self.held);
        if free < amount {
            return Err(Refusal::Full);
        }
        // what somebody else wants back never stands in the way of a floor
        let which = |account: &Account| match account.kept[FLOORS] >= amount {
            true => FLOORS,
            false => WANTED,
        };
        let part = which(&tenant.ranks[rank]);
        let whole = part.min(which(&tenant.all));
        let others = self.kept[whole] - tenant.kept(whole);
        if free < amount.saturating_add(others) {
            return Err(Refusal::KeptForOthers);
        }
        if free < amount.saturating_add(others + tenant.kept_from(rank, part)) {
            return Err(Refusal::KeptForRank);
        }
        Ok(())
    }

    /// Takes room whether there is any or not: for what can't be left where it is.
    pub fn hold(&mut self, now: Millis, party: Party, amount: u64) {
        let (at, rank) = self.place(party);
        let tenant = &mut self.tenants[at];
        tenant.all.held += amount;
        tenant.ranks[rank].held += amount;
        self.held += amount;
        self.settle(now, at);
    }

    /// Gives room back that the same party took.
    pub fn give_back(&mut self, now: Millis, party: Party, amount: u64) {
        let (at, rank) = self.place(party);
        let tenant = &mut self.tenants[at];
        self.held = self.held.saturating_sub(amount);
        tenant.all.held = tenant.all.held.saturating_sub(amount);
        tenant.ranks[rank].held = tenant.ranks[rank].held.saturating_sub(amount);
        self.settle(now, at);
    }

    /// All that is held.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.held
    }

    /// What a party holds, and what is kept for its tenant beside what that holds.
    #[must_use]
    pub fn stands(&self, party: Party) -> (u64, u64) {
        let (at, rank) = self.place(party);
        let tenant = &self.tenants[at];
        (tenant.ranks[rank].held, tenant.kept(WANTED))
    }

    /// The lowest rank of a tenant.
    #[must_use]
    pub fn last(&self, tenant: usize) -> usize {
        self.tenants.get(tenant).map_or(0, |tenant| tenant.last)
    }

    fn place(&self, party: Party) -> (usize, usize) {
        let at = party.tenant.min(self.tenants.len() - 1);
        (at, party.rank.min(self.tenants[at].last))
    }

    /// Forgets what a tenant asked for long ago, one tenant a call.
    fn look_on(&mut self, now: Millis) {
        let at = self.turn % self.tenants.len();
        self.turn = at + 1;
        self.settle(now, at);
    }

    fn settle(&mut self, now: Millis, at: usize) {
        let tenant = &mut self.tenants[at];
        let before = [tenant.kept(FLOORS), tenant.kept(WANTED)];
        tenant.all.settle(now, tenant.all.held);
        for rank in &mut tenant.ranks {
            rank.settle(now, rank.held);
        }
        for which in [FLOORS, WANTED] {
            self.kept[which] = self.kept[which] - before[which] + tenant.kept(which);
        }
    }
}
