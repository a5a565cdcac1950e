use crate::member::{Info, Member, Status, View};

/// Returns the alive other daemons of the zone of the daemon `own`.
pub(super) fn zone_peers<'a>(
    members: &'a View,
    own: &'a Info,
) -> impl Iterator<Item = &'a Member> + 'a {
    let own_id = own.id();
    members.iter().filter_map(move |(id, member)| {
        let is_peer =
            id != own_id && member.info.zone == own.zone && member.status == Status::Alive;
        is_peer.then_some(member)
    })
}
