//! A disk in memory: what lasts of the steps on it when its power is lost.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use elderpond_storage::Step;

/// Files with their bytes, and folders, by their paths below the root.
pub type Image = BTreeMap<PathBuf, Option<Vec<u8>>>;

/// Chance by seed.
pub struct Chance(pub u64);

impl Chance {
    /// Below this.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % bound.max(1) as u64) as usize
    }
}

#[derive(Clone)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Clone)]
enum Name {
    Make(PathBuf, Option<usize>),
    /// From, to, and what goes by the name.
    Move(PathBuf, PathBuf, Option<usize>),
    Drop(PathBuf),
}

/// A part that need not last, by the number of its step.
enum Part {
    /// By its place among the pending.
    Name(usize),
    /// Of that content.
    Content(usize, Change),
}

type Names = BTreeMap<PathBuf, Option<usize>>;

#[derive(Clone, Default)]
struct Content {
    lasting: Vec<u8>,
    /// In order, by the number of the step.
    pending: Vec<(usize, Change)>,
}

/// What lasts, and what was done since and need not.
#[derive(Clone, Default)]
pub struct Disk {
    root: PathBuf,
    steps: usize,
    contents: Vec<Content>,
    names: Names,
    lasting: Names,
    pending: Vec<(usize, Name)>,
}

/// Which of the parts that need not last do. Parts are sectors of writes, lengths and names, in order.
#[derive(Debug)]
pub enum Kept {
    Nothing,
    All,
    First(usize),
    But(usize),
    Only(usize),
    /// So many of eight.
    Each(usize),
}

impl Kept {
    pub fn draw(chance: &mut Chance, parts: usize) -> Self {
        match chance.below(10) {
            0 => Self::Nothing,
            1 => Self::All,
            2..=3 => Self::First(chance.below(parts)),
            4..=5 => Self::But(chance.below(parts)),
            6 => Self::Only(chance.below(parts)),
            _ => Self::Each(1 + chance.below(7)),
        }
    }

    fn keeps(&self, chance: &mut Chance, part: usize) -> bool {
        match self {
            Self::Nothing => false,
            Self::All => true,
            Self::First(parts) => part < *parts,
            Self::But(lost) => part != *lost,
            Self::Only(kept) => part == *kept,
            Self::Each(eighths) => chance.below(8) < *eighths,
        }
    }
}

impl Disk {
    /// A disk on which all that is below this folder lasts.
    pub fn of(root: &Path) -> Self {
        let mut disk = Self {
            root: root.to_owned(),
            ..Self::default()
        };
        for (path, bytes) in image(root) {
            let content = bytes.map(|bytes| disk.content(bytes));
            disk.names.insert(path, content);
        }
        disk.lasting = disk.names.clone();
        disk
    }

    fn content(&mut self, lasting: Vec<u8>) -> usize {
        let pending = Vec::new();
        self.contents.push(Content { lasting, pending });
        self.contents.len() - 1
    }

    fn below(&self, path: &Path) -> Option<PathBuf> {
        Some(path.strip_prefix(&self.root).ok()?.to_owned())
    }

    fn name(&mut self, name: Name) {
        apply(&mut self.names, &name);
        self.pending.push((self.steps, name));
    }

    fn change(&mut self, path: &Path, change: Change) {
        let path = self.below(path).expect("a file of ours");
        let content = self.names[&path].expect("a file");
        self.contents[content].pending.push((self.steps, change));
    }

    /// A step that was taken.
    pub fn take(&mut self, step: &Step) {
        self.steps += 1;
        match step {
            Step::Folder(path) => {
                let path = self.below(path).unwrap();
                self.name(Name::Make(path, None));
            }
            Step::Create(path) => {
                let path = self.below(path).unwrap();
                if !self.names.contains_key(&path) {
                    let content = self.content(Vec::new());
                    self.name(Name::Make(path, Some(content)));
                }
            }
            Step::Write { path, at, bytes } => {
                let (at, bytes) = (*at as usize, bytes.clone());
                self.change(path, Change::Write { at, bytes });
            }
            Step::Length { path, length } => self.change(path, Change::Length(*length as usize)),
            Step::Sync(path) => {
                // Of names above the root, nothing is asked.
                let Some(path) = self.below(path) else { return };
                match self.names.get(&path).copied().flatten() {
                    Some(content) => {
                        let content = &mut self.contents[content];
                        for (_, change) in std::mem::take(&mut content.pending) {
                            write(&mut content.lasting, &change, usize::MAX);
                        }
                    }
                    None => {
                        let here = |name: &Name| {
                            let (Name::Make(at, _) | Name::Move(_, at, _) | Name::Drop(at)) = name;
                            at.parent() == Some(&path)
                        };
                        for (_, name) in self.pending.iter().filter(|(_, name)| here(name)) {
                            apply(&mut self.lasting, name);
                        }
                        self.pending.retain(|(_, name)| !here(name));
                    }
                }
            }
            Step::Rename { from, to } => {
                let (from, to) = (self.below(from).unwrap(), self.below(to).unwrap());
                let content = self.names[&from];
                self.name(Name::Move(from, to, content));
            }
            Step::Remove(folder) => {
                let folder = self.below(folder).unwrap();
                let within: Vec<PathBuf> = self.names.keys().cloned().collect();
                // What is deepest goes first, each by itself.
                for path in within
                    .into_iter()
                    .rev()
                    .filter(|path| path.starts_with(&folder))
                {
                    self.name(Name::Drop(path));
                }
            }
        }
    }

    /// A sync that failed: of a file, some of what it was to make last is written, and the rest never, though
    /// a later sync tells nothing of that. Names still may last.
    pub fn fail_sync(&mut self, chance: &mut Chance, path: &Path) {
        let path = self.below(path);
        let Some(content) = path.and_then(|path| self.names.get(&path).copied().flatten()) else {
            return;
        };
        let eighths = chance.below(9);
        for (_, part) in self.split(512) {
            if let Part::Content(of, change) = part
                && of == content
                && chance.below(8) < eighths
            {
                write(&mut self.contents[content].lasting, &change, usize::MAX);
            }
        }
        self.contents[content].pending.clear();
    }

    /// How many parts need not last.
    pub fn parts(&self, sector: usize) -> usize {
        self.split(sector).len()
    }

    /// Parts in the order of the steps: a name, or a change of a content.
    fn split(&self, sector: usize) -> Vec<(usize, Part)> {
        let names = self.pending.iter().enumerate();
        let mut parts: Vec<_> = names
            .map(|(nth, (step, _))| (*step, Part::Name(nth)))
            .collect();
        for (content, Content { pending, .. }) in self.contents.iter().enumerate() {
            for (step, change) in pending {
                let Change::Write { at, bytes } = change else {
                    parts.push((*step, Part::Content(content, change.clone())));
                    continue;
                };
                let mut done = 0;
                while done < bytes.len() {
                    let to = bytes.len().min(done + sector - (at + done) % sector);
                    let at = at + done;
                    let bytes = bytes[done..to].to_vec();
                    parts.push((*step, Part::Content(content, Change::Write { at, bytes })));
                    done = to;
                }
            }
        }
        parts.sort_by_key(|(step, _)| *step);
        parts
    }

    /// What a loss of power leaves. With `tear`, one of the kept writes stops at any byte.
    pub fn lose_power(&self, chance: &mut Chance, kept: &Kept, sector: usize, tear: bool) -> Image {
        let parts = self.split(sector);
        let torn = if tear {
            chance.below(parts.len())
        } else {
            usize::MAX
        };
        let mut names = self.lasting.clone();
        let mut contents: Vec<Option<Vec<u8>>> = vec![None; self.contents.len()];
        for (nth, (_, part)) in parts.iter().enumerate() {
            if !kept.keeps(chance, nth) {
                continue;
            }
            match part {
                Part::Name(name) => apply(&mut names, &self.pending[*name].1),
                Part::Content(content, change) => {
                    let lasting = &self.contents[*content].lasting;
                    let now = contents[*content].get_or_insert_with(|| lasting.clone());
                    let end = if nth == torn {
                        chance.below(sector)
                    } else {
                        usize::MAX
                    };
                    write(now, change, end);
                }
            }
        }
        let of = |content: usize| match contents[content].take() {
            Some(changed) => changed,
            None => self.contents[content].lasting.clone(),
        };
        let mut of = of;
        let seen = names.clone();
        let seen = |path: &PathBuf| {
            let mut above = path.ancestors().skip(1);
            above.all(|it| it == Path::new("") || seen.contains_key(it))
        };
        names
            .into_iter()
            .filter(|(path, _)| seen(path))
            .map(|(path, content)| (path, content.map(&mut of)))
            .collect()
    }
}

/// Changes a content; of a write no more than so many bytes.
fn write(content: &mut Vec<u8>, change: &Change, most: usize) {
    match change {
        Change::Length(length) => content.resize(*length, 0),
        Change::Write { at, bytes } if *at <= content.len() => {
            let bytes = &bytes[..bytes.len().min(most)];
            let end = at + bytes.len();
            content.resize(content.len().max(end), 0);
            content[*at..end].copy_from_slice(bytes);
        }
        // Beyond the end, where the length did not last.
        Change::Write { .. } => {}
    }
}

/// What is in a folder whose own name does not last stays in it, unseen.
fn apply(names: &mut Names, name: &Name) {
    match name {
        Name::Make(path, content) => drop(names.insert(path.clone(), *content)),
        Name::Move(from, to, content) => {
            let all: Vec<PathBuf> = names.keys().cloned().collect();
            for path in all.into_iter().filter(|path| path.starts_with(from)) {
                let content = names.remove(&path).unwrap();
                let below = path.strip_prefix(from).unwrap();
                names.insert(to.join(below), content);
            }
            names.remove(&to.join(""));
            names.insert(to.clone(), *content);
        }
        Name::Drop(path) => {
            if !names
                .keys()
                .any(|other| other != path && other.starts_with(path))
            {
                names.remove(path);
            }
        }
    }
}

/// All that is below a folder.
pub fn image(root: &Path) -> Image {
    fn look(root: &Path, folder: &Path, all: &mut Image) {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            let below = path.strip_prefix(root).unwrap().to_owned();
            if path.is_dir() {
                all.insert(below, None);
                look(root, &path, all);
            } else {
                all.insert(below, Some(fs::read(&path).unwrap()));
            }
        }
    }
    let mut all = Image::new();
    look(root, root, &mut all);
    all
}

/// Lays this below a folder, and nothing else.
pub fn lay(root: &Path, image: &Image) {
    for entry in fs::read_dir(root).unwrap() {
        let path = entry.unwrap().path();
        match path.is_dir() {
            true => fs::remove_dir_all(path).unwrap(),
            false => fs::remove_file(path).unwrap(),
        }
    }
    for (path, bytes) in image {
        match bytes {
            None => fs::create_dir_all(root.join(path)).unwrap(),
            Some(bytes) => fs::write(root.join(path), bytes).unwrap(),
        }
    }
}
