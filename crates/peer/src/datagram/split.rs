//! Divides messages that are too long for one datagram.

use std::borrow::Cow;
use std::mem;

use postcard::ser_flavors::Size;
use serde::Serialize;
use suspect::prelude::SuspectNotice;

use super::message::{
    DirectoryMessage, LoadMessage, LossMessage, PeerEnvelope, PeerMessage, SuspectMessage,
};

/// Bytes by which the length of a list grows from an empty list to the longest in a datagram:
/// one byte up to 127 entries, two bytes up to 16,383.
const LENGTH_GROWTH: usize = 1;

/// Returns the envelope itself if it has at most `limit` bytes, otherwise its parts.
pub(super) fn parts(envelope: &PeerEnvelope, limit: usize) -> Cow<'_, [PeerEnvelope]> {
    if encoded_size(envelope) <= limit {
        return Cow::Borrowed(std::slice::from_ref(envelope));
    }
    Cow::Owned(divide(envelope, limit))
}

/// Returns messages with the content of `envelope` that have at most `limit` bytes each. An entry
/// that is too long alone is in a message of its own, which exceeds the limit.
fn divide(envelope: &PeerEnvelope, limit: usize) -> Vec<PeerEnvelope> {
    let with = |message| PeerEnvelope { message, ..envelope.clone() };
    let room = |empty: PeerMessage| {
        limit.saturating_sub(encoded_size(&with(empty)).saturating_add(LENGTH_GROWTH))
    };
    let messages: Vec<PeerMessage> = match &envelope.message {
        PeerMessage::Hello(_) | PeerMessage::Outdated(_) | PeerMessage::Config(_) => {
            vec![envelope.message.clone()]
        }
        PeerMessage::Directory(directory) => vec![without_rows(directory)],
        PeerMessage::Load(load) => {
            let room = room(PeerMessage::Load(LoadMessage::default()));
            let lists = chunks(load.notices.iter().cloned(), room);
            lists.map(|notices| PeerMessage::Load(LoadMessage { notices })).collect()
        }
        PeerMessage::Suspects(suspects) => {
            let room = room(PeerMessage::Suspects(SuspectMessage::default()));
            let notices = suspects.notices.iter().flat_map(|notice| halves(notice, room));
            let lists = chunks(notices, room);
            lists.map(|notices| PeerMessage::Suspects(SuspectMessage { notices })).collect()
        }
        PeerMessage::Losses(losses) => {
            let room = room(PeerMessage::Losses(LossMessage::default()));
            let lists = chunks(losses.vms.iter().cloned(), room);
            lists.map(|vms| PeerMessage::Losses(LossMessage { vms })).collect()
        }
    };
    messages.into_iter().map(with).collect()
}

fn without_rows(directory: &DirectoryMessage) -> PeerMessage {
    let DirectoryMessage { from, position, age_ms, config_version, .. } = *directory;
    let rows = Vec::new();
    PeerMessage::Directory(DirectoryMessage {
        from,
        position,
        age_ms,
        rows,
        rows_omitted: true,
        config_version,
    })
}

/// Divides a notice that is too long alone. Receivers merge the crashes of several notices, so
/// that the parts together say the same.
fn halves(notice: &SuspectNotice, room: usize) -> Vec<SuspectNotice> {
    if notice.incidents.len() < 2 || encoded_size(notice) <= room {
        return vec![notice.clone()];
    }
    let (left, right) = notice.incidents.split_at(notice.incidents.len() / 2);
    let part = |incidents: &[_]| {
        let part = SuspectNotice { incidents: incidents.to_vec(), ..notice.clone() };
        halves(&part, room)
    };
    let mut parts = part(left);
    parts.extend(part(right));
    parts
}

/// Returns lists of consecutive items that have at most `room` bytes each.
fn chunks<T: Serialize>(
    items: impl Iterator<Item = T>,
    room: usize,
) -> impl Iterator<Item = Vec<T>> {
    let mut lists = Vec::new();
    let mut list = Vec::new();
    let mut used = 0_usize;
    for item in items {
        let size = encoded_size(&item);
        if !list.is_empty() && used.saturating_add(size) > room {
            lists.push(mem::take(&mut list));
            used = 0;
        }
        used = used.saturating_add(size);
        list.push(item);
    }
    lists.push(list);
    lists.into_iter()
}

/// Returns the bytes that `value` takes, or the largest number if it cannot be encoded, so that it
/// counts as too long.
fn encoded_size(value: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(value, Size::default()).unwrap_or(usize::MAX)
}
