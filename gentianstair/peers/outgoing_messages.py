"""Build the messages that a node sends to its peers."""

import typing

from gentianstair.config import view as views
from gentianstair.peers import freshness as freshness_module
from gentianstair.peers import link
from gentianstair.peers import membership


def make_hello(view: views.View, members: membership.Members) -> link.Message:
    """Return the first message on a link: this VM and its digests."""
    return {
        'type': 'hello',
        'member': membership.to_message(members.own),
        'digest': view.digest,
        'members_digest': members.digest(),
        'buckets': view.buckets if view.objects else [],
    }


def make_heartbeat(
    now_s: float,
    view: views.View,
    freshness: freshness_module.Freshness,
    freshness_s: float,
    members_digest: int | None,
) -> link.Message:
    """Return a heartbeat, without ages that exceed freshness_s.

    members_digest is None in most heartbeats, as members seldom change.
    """
    message: link.Message = {
        'type': 'beat',
        'sent_ms': int(now_s * 1000),
        'revision': view.revision,
        'digest': view.digest,
    }
    age_s = freshness.age_s()
    if age_s is not None and age_s <= freshness_s:
        message['age_ms'] = int(age_s * 1000) + 1
    silence_s = freshness.store_silence_s()
    if silence_s is not None and 'age_ms' not in message:
        message['outage_age_ms'] = int(silence_s * 1000) + 1
    reached_age_s = freshness.reached_age_s()
    if reached_age_s is not None and reached_age_s <= freshness_s:
        message['reached'] = freshness.reached
        message['reached_age_ms'] = int(reached_age_s * 1000) + 1
    if members_digest:
        message['members_digest'] = members_digest
    return message


def make_members(members: typing.Iterable[membership.Member]) -> link.Message:
    """Return a message with members."""
    return {
        'type': 'members',
        'members': [membership.to_message(member) for member in members],
    }


def make_listed(entries: dict[str, membership.ListedState]) -> link.Message:
    """Return a message with entries of the platform's list of VMs."""
    states = {name: entry._asdict() for name, entry in entries.items()}
    return {'type': 'listed', 'states': states}
