//! Divides messages that are too long for one datagram.

use std::borrow::Cow;
use std::mem;

use postcard::ser_flavors::Size;
use serde::Serialize;
use store::prelude::TableRow;
use suspect::prelude::SuspectNotice;

use super::message::{
    DirectoryMessage, DrainMessage, EvacuationMessage, LoadMessage, LossMessage, PeerEnvelope,
    PeerMessage, SuspectMessage,
};

/// Bytes by which the length prefix of a list grows from an empty list to the longest in a
/// datagram: one byte up to 127 entries, two bytes up to 16,383.
const LENGTH_GROWTH: usize = 1;

/// The most messages among which changes are divided, fewer than the 64 numbers of broadcasts that a
/// VM remembers of another. More changes cost less if each VM that misses them fetches them from a
/// peer.
const MAX_DIRECTORY_PARTS: usize = 48;

/// Returns the envelope itself if it has at most `limit` bytes, otherwise its parts.
pub(super) fn parts(envelope: &PeerEnvelope, limit: usize) -> Cow<'_, [PeerEnvelope]> {
    if encoded_size(envelope) <= limit {
        return Cow::Borrowed(std::slice::from_ref(envelope));
    }
    Cow::Owned(divide(envelope, limit))
}

/// Returns messages with the content of `envelope` that have at most `limit` bytes each. An entry
/// that does not fit into a message is sent alone in one that exceeds the limit.
fn divide(envelope: &PeerEnvelope, limit: usize) -> Vec<PeerEnvelope> {
    let wrap = |message| PeerEnvelope { message, ..envelope.clone() };
    let capacity = |empty: PeerMessage| {
        limit.saturating_sub(encoded_size(&wrap(empty)).saturating_add(LENGTH_GROWTH))
    };
    let messages: Vec<PeerMessage> = match &envelope.message {
        PeerMessage::Hello(_)
        | PeerMessage::Outdated(_)
        | PeerMessage::Config(_)
        | PeerMessage::CreditRequest(_)
        | PeerMessage::CreditAnswer(_) => vec![envelope.message.clone()],
        PeerMessage::Evacuations(evacuations) => {
            let capacity = capacity(PeerMessage::Evacuations(EvacuationMessage::default()));
            let lists = chunks(evacuations.marks.iter().cloned(), capacity);
            lists.map(|marks| PeerMessage::Evacuations(EvacuationMessage { marks })).collect()
        }
        PeerMessage::Directory(directory) => {
            // Numbers of the parts take as many bytes as any number can.
            let longest = DirectoryMessage {
                from: u64::MAX,
                position: u64::MAX,
                age_ms: u32::MAX,
                ..directory_part(directory, 0, 0, Vec::new())
            };
            let capacity = capacity(PeerMessage::Directory(longest));
            let parts = split_directory(directory, capacity);
            let parts = parts.unwrap_or_else(|| vec![without_rows(directory)]);
            parts.into_iter().map(PeerMessage::Directory).collect()
        }
        PeerMessage::Load(load) => {
            let capacity = capacity(PeerMessage::Load(LoadMessage::default()));
            let lists = chunks(load.samples.iter().cloned(), capacity);
            lists.map(|samples| PeerMessage::Load(LoadMessage { samples })).collect()
        }
        PeerMessage::Suspects(suspects) => {
            let capacity = capacity(PeerMessage::Suspects(SuspectMessage::default()));
            let notices = suspects.notices.iter().flat_map(|notice| split_notice(notice, capacity));
            let lists = chunks(notices, capacity);
            lists.map(|notices| PeerMessage::Suspects(SuspectMessage { notices })).collect()
        }
        PeerMessage::Drains(drains) => {
            let capacity = capacity(PeerMessage::Drains(DrainMessage::default()));
            let lists = chunks(drains.marks.iter().cloned(), capacity);
            lists.map(|marks| PeerMessage::Drains(DrainMessage { marks })).collect()
        }
        PeerMessage::Losses(losses) => {
            let capacity = capacity(PeerMessage::Losses(LossMessage::default()));
            let lists = chunks(losses.vms.iter().cloned(), capacity);
            lists.map(|vms| PeerMessage::Losses(LossMessage { vms })).collect()
        }
    };
    messages.into_iter().map(wrap).collect()
}

fn without_rows(directory: &DirectoryMessage) -> DirectoryMessage {
    let DirectoryMessage { from, position, .. } = *directory;
    let part = directory_part(directory, from, position, Vec::new());
    DirectoryMessage { rows_omitted: true, ..part }
}

/// Returns a message with the changes between two positions.
fn directory_part(
    directory: &DirectoryMessage,
    from: u64,
    position: u64,
    rows: Vec<TableRow>,
) -> DirectoryMessage {
    let DirectoryMessage { age_ms, config_version, .. } = *directory;
    DirectoryMessage { from, position, age_ms, rows, rows_omitted: false, config_version }
}

/// Divides the changes among messages, each of which starts at the position at which the one before
/// ends, so that a receiver can apply each of them as it arrives. Rows of one version stay together.
/// Returns `None` if there would be too many messages, or one with more than `capacity` bytes of
/// rows.
fn split_directory(directory: &DirectoryMessage, capacity: usize) -> Option<Vec<DirectoryMessage>> {
    let mut rows = directory.rows.clone();
    rows.sort_by_key(|row| row.version);
    let mut parts = Vec::new();
    let (mut from, mut list, mut used) = (directory.from, Vec::new(), 0_usize);
    for group in rows.chunk_by(|first, second| first.version == second.version) {
        let size: usize = group.iter().map(row_size).sum();
        if size > capacity || group[0].version > directory.position {
            return None;
        }
        if used + size > capacity {
            let position = list.last().map_or(from, |row: &TableRow| row.version).max(from);
            parts.push(directory_part(directory, from, position, mem::take(&mut list)));
            (from, used) = (position, 0);
        }
        list.extend_from_slice(group);
        used += size;
    }
    parts.push(directory_part(directory, from, directory.position, list));
    (parts.len() <= MAX_DIRECTORY_PARTS).then_some(parts)
}

/// Returns the bytes that a row takes in a message.
fn row_size(row: &TableRow) -> usize {
    let rows = vec![row.clone()];
    let message = DirectoryMessage {
        from: 0,
        position: 0,
        age_ms: 0,
        rows,
        rows_omitted: false,
        config_version: 0,
    };
    let empty = DirectoryMessage { rows: Vec::new(), ..message.clone() };
    encoded_size(&message).saturating_sub(encoded_size(&empty))
}

/// Divides the crashes of a notice that does not fit into a message among several notices.
/// Receivers merge the crashes of notices, so that the parts together have the same effect.
fn split_notice(notice: &SuspectNotice, capacity: usize) -> Vec<SuspectNotice> {
    if notice.incidents.len() < 2 || encoded_size(notice) <= capacity {
        return vec![notice.clone()];
    }
    let (left, right) = notice.incidents.split_at(notice.incidents.len() / 2);
    let part = |incidents: &[_]| {
        let part = SuspectNotice { incidents: incidents.to_vec(), ..notice.clone() };
        split_notice(&part, capacity)
    };
    let mut parts = part(left);
    parts.extend(part(right));
    parts
}

/// Returns lists of consecutive items that have at most `capacity` bytes each.
fn chunks<T: Serialize>(
    items: impl Iterator<Item = T>,
    capacity: usize,
) -> impl Iterator<Item = Vec<T>> {
    let mut lists = Vec::new();
    let mut list = Vec::new();
    let mut used = 0_usize;
    for item in items {
        let size = encoded_size(&item);
        if !list.is_empty() && used.saturating_add(size) > capacity {
            lists.push(mem::take(&mut list));
            used = 0;
        }
        used = used.saturating_add(size);
        list.push(item);
    }
    lists.push(list);
    lists.into_iter()
}

/// Returns the encoded size of `value` in bytes, or the largest number if it cannot be encoded, so
/// that it counts as too long.
fn encoded_size(value: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(value, Size::default()).unwrap_or(usize::MAX)
}
