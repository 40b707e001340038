"""Test that no error after a request's first byte passes for not run."""

import functools

import pytest

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import forward
from gentianstair.gateway import replica_client
from gentianstair.platform import http_codec
from standins.site import site as sites
from test.gateway import test_refusals

NOT_RUN = verdicts.Verdict.NOT_RUN
ONCE, STREAM = test_refusals.ONCE, test_refusals.STREAM
# Each is raised though its request runs; most say that it did not.
ERRORS = {
    'refusal': functools.partial(errors.RequestError, 503, 'odd', 'odd'),
    'over-limit': functools.partial(errors.RequestError, 429, 'odd', 'odd'),
    'rejected': functools.partial(errors.UpstreamRejectedError, 'odd', 503),
    'not-run': functools.partial(errors.UpstreamError, 'odd', NOT_RUN),
    'unreachable': functools.partial(errors.UnreachableError, 'odd'),
    'drains': functools.partial(errors.UpstreamDrainsError, 'odd'),
    'paused': functools.partial(errors.UpstreamBackoffError, 'odd'),
    'unknown': functools.partial(RuntimeError, 'odd'),
    'missing': functools.partial(KeyError, 'odd'),
}


def in_the_reading_of_notices(monkeypatch, raise_error):
    """Raise as what the answer says of its replica is taken."""
    record = replica_client.ReplicaClient._record

    def fail(client, run, response, sent_s, is_callers):
        if is_callers:
            raise_error()
        record(client, run, response, sent_s, is_callers)

    monkeypatch.setattr(replica_client.ReplicaClient, '_record', fail)


def in_the_note_of_a_peer(monkeypatch, raise_error):
    """Raise once the answer's headers are there."""
    monkeypatch.setattr(forward, '_log_peer', raise_error)


def in_the_passing_on(monkeypatch, raise_error):
    """Raise as the answer's headers are passed on."""
    monkeypatch.setattr(http_codec, 'response_headers', raise_error)


PLACES = [in_the_reading_of_notices, in_the_note_of_a_peer, in_the_passing_on]


@pytest.mark.parametrize('error', ERRORS)
@pytest.mark.parametrize('place', PLACES, ids=lambda place: place.__name__)
@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
async def test_error_after_the_send_is_no_proof_of_no_run(
    tmp_path, monkeypatch, path, place, error
):
    # Guards against a refusal, or a second run, of what was sent already.
    def raise_error(*_):
        raise ERRORS[error]()

    place(monkeypatch, raise_error)
    found = [
        replica
        for replica in test_refusals.replicas_of(path, 2)
        if replica.stage != 'prefill'
    ]
    async with sites.running(found) as site:
        seen = await test_refusals.play(site, tmp_path, path)
    assert seen.runs
    assert not seen.broken()
