"""Test what messages that a hub must not trust do to it and to their link."""

import random
import types

import cbor2
import loguru
import pytest
import trio

from gentianstair.gateway import leaf_feed
from gentianstair.gateway import leaf_records
from gentianstair.gateway import peer_links
from gentianstair.peers import link
from test.gateway import hub_nodes

LEAF = 'vm-2.ab'
LOAD = {
    'type': 'load',
    'process': LEAF,
    'address': '10.0.0.2:1',
    'config_version': 0,
    'loads': {'i-1': [3, 40]},
    'leaf': True,
}
MEMBER = leaf_feed.encode_member(
    leaf_records.LeafRecord(LEAF, 'vm-2', 'a', '10.0.0.2:1', 0.5, {})
)


def clock():
    return 100.0


class Channel(link.Channel):
    """A link on which a peer sends some messages and then nothing."""

    def __init__(self, messages):
        self.messages = list(messages)
        self.sent = []
        self.closed = False

    async def send(self, data):
        self.sent.append(cbor2.loads(data))

    async def receive(self):
        if self.messages:
            return self.messages.pop(0)
        await trio.sleep_forever()

    async def aclose(self):
        self.closed = True


async def accept(*messages, is_synced=True):
    """Play a peer's messages; return node, channel and logged events."""
    node = hub_nodes.make_node()
    node.is_synced = lambda: is_synced
    channel = Channel(messages)
    updates = types.SimpleNamespace(
        store_health=types.SimpleNamespace(reported_age_s=0.0, age_s=0.0)
    )
    links = peer_links.PeerLinks(node, None, updates, random.Random(1))
    logged = []
    sink = loguru.logger.add(
        lambda m: logged.append(m.record['extra'].get('event'))
    )
    try:
        with trio.move_on_after(1.0):
            await links._accept(channel)
    finally:
        loguru.logger.remove(sink)
    return node, channel, logged


def encoded(**changes):
    message = {**LOAD, 'version': 1, **changes}
    return cbor2.dumps({k: v for k, v in message.items() if v is not None})


UNTRUSTED = {
    'no CBOR': b'\xff\xff\xff',
    'cut off': encoded()[:-4],
    'too large': encoded(address='x' * link.MAX_MESSAGE_BYTES),
    'nested too deep': cbor2.dumps([[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]),
    'no type': encoded(type=None),
    'no process': encoded(process=None),
    'loads of another type': encoded(loads=[1, 2]),
    'cache change of another shape': encoded(cache=[['i-1', 'p']]),
    'member of another shape': encoded(member={'name': LEAF}),
    'known replicas of another shape': encoded(
        member=MEMBER, known={'i-1': ['x']}
    ),
    'limit of another shape': encoded(limits=[['i-1', 1]]),
    'limit beyond all numbers': encoded(limits=[['i-1', 1, 2**2000, 0]]),
    'member in the name of another process': encoded(
        member={**MEMBER, 'name': 'vm-3.ef'}
    ),
}


@pytest.mark.parametrize('message', UNTRUSTED.values(), ids=UNTRUSTED)
async def test_untrusted_message_ends_its_link_and_changes_nothing(
    message, autojump_clock
):
    # A hub would go on with loads or counts that no process has reported.
    node, channel, logged = await accept(message, encoded())
    assert channel.closed
    assert channel.messages
    assert 'peer-unreadable' in logged
    assert node.roster.leaves == {}
    assert node.roster.leaf_records.linked() == []
    assert node.load_tracker.load_of('i-1').running == 0


@pytest.mark.parametrize(
    'message',
    [
        encoded(member=MEMBER),
        encoded(more='of a newer version'),
        cbor2.dumps({'version': 1, 'type': 'of a newer version'}),
    ],
    ids=['report', 'unknown field', 'unknown type'],
)
async def test_link_goes_on_after_messages_of_a_newer_version(
    message, autojump_clock
):
    # A fleet runs mixed versions while it is rolled.
    node, channel, logged = await accept(message, encoded())
    assert not channel.messages
    assert 'peer-unreadable' not in logged
    assert channel.sent[-1]['type'] == 'feed'


@pytest.mark.parametrize('is_synced', [True, False], ids=['synced', 'starts'])
async def test_process_that_starts_does_not_tell_of_replicas(
    is_synced, autojump_clock
):
    # Its empty list would replace the one of a VM that the store refuses.
    query = {'version': 1, 'type': 'ask_news', 'config_version': 0}
    _, channel, _ = await accept(cbor2.dumps(query), is_synced=is_synced)
    assert [message['type'] for message in channel.sent] == (
        ['news'] if is_synced else []
    )
