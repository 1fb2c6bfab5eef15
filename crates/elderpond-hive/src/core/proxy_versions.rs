//! Versions of the configuration on their way to proxies.

use std::sync::Arc;

use bytes::Bytes;
use elderpond_control_wire::{COMMON, FromHive, VersionForm, Vouch, pack, version_frames};
use elderpond_flora::{Configuration, History, Version};
use hashbrown::HashMap;

use super::lag::{Delay, Late};
use super::{Action, Hive, LEASE, LinkId};

/// A version as it is told to proxies, made when the first one is to be told so.
pub(super) type VersionFrames = Arc<[Bytes]>;

/// What is in force.
#[derive(Debug)]
pub(super) struct InForce {
    pub(super) version: u64,
    /// As the operator sent it.
    body: Bytes,
    /// What leads to it from the versions before.
    history: History,
    /// For programs that know no parts of versions.
    in_one_frame: Option<VersionFrames>,
    whole: Option<VersionFrames>,
    /// From earlier versions; none where the whole is to be told.
    differences: HashMap<u64, Option<VersionFrames>>,
}

impl InForce {
    /// The version that follows `before`.
    pub(super) fn after(before: Option<Self>, body: Bytes, read: Configuration) -> Self {
        let version = read.version_number.0;
        let history = match before {
            Some(mut before) => {
                before.history.advance(read);
                before.history
            }
            None => History::new(read),
        };
        Self {
            version,
            body,
            history,
            in_one_frame: None,
            whole: None,
            differences: HashMap::new(),
        }
    }

    /// Its routes and services.
    pub(super) fn content(&self) -> &History {
        &self.history
    }

    /// As it is told to a proxy of that version of the wire which was told `held` before.
    fn frames(&mut self, wire: u8, held: u64) -> VersionFrames {
        let (version, body) = (self.version, &self.body);
        if wire <= COMMON {
            let in_one_frame = self.in_one_frame.get_or_insert_with(|| {
                let body = body.clone();
                Arc::new([pack(&FromHive::Version { version, body })])
            });
            return in_one_frame.clone();
        }
        let history = &self.history;
        let difference = self.differences.entry(held).or_insert_with(|| {
            let difference = history.since(Version(held))?.encode();
            let shorter = difference.len() < body.len();
            shorter.then(|| {
                version_frames(version, VersionForm::Difference, &difference.into()).into()
            })
        });
        if let Some(frames) = difference {
            return frames.clone();
        }
        let whole = (self.whole)
            .get_or_insert_with(|| version_frames(version, VersionForm::Whole, body).into());
        whole.clone()
    }
}

impl Hive {
    /// Sends the version in force to each proxy that is due to be told a newer one.
    pub(super) fn tell_versions(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(in_force) = &mut self.in_force else {
            return;
        };
        let version = in_force.version;
        for (link, proxy) in &mut self.foragers {
            if !proxy.versions.is_due(now, version) {
                continue;
            }
            let frames = in_force.frames(proxy.wire, proxy.versions.told());
            proxy.versions.sent(now, version);
            out.push(Action::VersionToForager {
                link: *link,
                version,
                frames,
            });
        }
    }

    /// A version has come in force here: each proxy that lacks it is behind from now on. What is learnt
    /// while this control node does not vouch may have been in force elsewhere for long.
    pub(super) fn proxies_lack(&mut self, version: u64) {
        let (now, learnt_late) = (self.now, !self.vouches());
        for proxy in self.foragers.values_mut() {
            proxy.versions.in_force(now, version, learnt_late);
        }
    }

    /// The last byte of a version was written to a proxy's connection.
    pub(super) fn version_written(&mut self, link: LinkId, version: u64) {
        if let Some(proxy) = self.foragers.get_mut(&link) {
            proxy.versions.written(self.now, version);
        }
    }

    /// A proxy has taken a version.
    pub(super) fn version_taken(&mut self, link: LinkId, version: u64, out: &mut Vec<Action>) {
        let now = self.now;
        let newest = self
            .in_force
            .as_ref()
            .map_or(0, |in_force| in_force.version);
        let Some(proxy) = self.foragers.get_mut(&link) else {
            return;
        };
        let was_behind = proxy.versions.is_behind(now, LEASE);
        let delay = Delay {
            delay_ms: proxy.versions.taken(now, version, newest),
            proxy: proxy.node,
        };
        let has_caught_up = was_behind && !proxy.versions.is_behind(now, LEASE);
        let line = self.lag.note(now, Late::Version, delay);
        out.extend(line.map(Action::Log));
        self.tell_versions(out);
        if has_caught_up && self.vouches() {
            self.tell_word_to(link, out);
        }
    }

    /// A proxy can't use what it was told of a version.
    pub(super) fn version_refused(&mut self, link: LinkId, out: &mut Vec<Action>) {
        if let Some(proxy) = self.foragers.get_mut(&link) {
            proxy.versions.refused();
            let node = proxy.node;
            out.push(Action::Log(format!(
                "proxy {node} asks for the whole version"
            )));
            self.tell_versions(out);
        }
    }

    /// What may be said to a proxy of what it was told, where this control node `vouches`.
    pub(super) fn vouch(&self, link: LinkId, vouches: bool) -> Vouch {
        let behind = (self.foragers.get(&link))
            .is_some_and(|proxy| proxy.versions.is_behind(self.now, LEASE));
        match (vouches, behind) {
            (false, _) => Vouch::No,
            (true, true) => Vouch::Behind,
            (true, false) => Vouch::Current,
        }
    }
}
