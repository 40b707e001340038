"""Count the VMs that can be reached, and collect their revisions.

A survey floods the links. A node that receives it for the first time forwards
it on its other links, adds up their answers and answers with the sum. A node
that has seen it answers zero at once. So each VM is counted once, and only if
messages pass both ways.
"""

import math
import secrets
import typing

import trio

from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import session as session_module

# Share of its own timeout that a node gives to the nodes behind it.
HOP_TIMEOUT_SHARE = 0.8
# Survey ids kept to recognise repeated ones.
MAX_REMEMBERED_SURVEYS = 256
# Limit on the timeout that a peer may ask for.
MAX_TIMEOUT_MS = 10000


class Result(typing.NamedTuple):
    """Number of VMs reached, this one included, and their revisions."""

    reached: int
    revisions: dict[str, int]


class Surveys:
    """Start and answer surveys for one node."""

    def __init__(
        self,
        name: str,
        revision: typing.Callable[[], int],
        sessions: typing.Callable[[], list[session_module.Session]],
    ) -> None:
        self._name = name
        self._revision = revision
        self._sessions = sessions
        self._seen: dict[str, None] = {}

    async def run(self, timeout_s: float, revisions: bool) -> Result:
        """Run a survey from this node and return its result."""
        survey_id = f'{self._name}/{secrets.token_hex(6)}'
        self._remember(survey_id)
        return await self._flood(survey_id, timeout_s, revisions, None)

    async def answer(
        self, requester: session_module.Session, survey: messages.PeerSurvey
    ) -> None:
        """Answer a survey received on a link."""
        survey_id = survey['survey_id']
        if survey_id in self._seen:
            result = Result(0, {})
        else:
            self._remember(survey_id)
            timeout_ms = min(survey['left_ms'], MAX_TIMEOUT_MS)
            timeout_s = max(0, timeout_ms) / 1000 * HOP_TIMEOUT_SHARE
            with_revisions = survey['revisions']
            result = await self._flood(
                survey_id, timeout_s, with_revisions, requester
            )
        requester.queue(
            {
                'type': 'survey_answer',
                'survey_id': survey_id,
                'reached': result.reached,
                'revisions': result.revisions,
            }
        )

    def _remember(self, survey_id: str) -> None:
        self._seen[survey_id] = None
        while len(self._seen) > MAX_REMEMBERED_SURVEYS:
            del self._seen[next(iter(self._seen))]

    async def _flood(
        self,
        survey_id: str,
        timeout_s: float,
        with_revisions: bool,
        requester: session_module.Session | None,
    ) -> Result:
        reached = 1
        revisions = {self._name: self._revision()} if with_revisions else {}
        forwarded_to = [
            session for session in self._sessions() if session is not requester
        ]
        send, receive = trio.open_memory_channel(math.inf)
        for session in forwarded_to:
            session.survey_answers[survey_id] = send
            session.queue(
                {
                    'type': 'survey',
                    'survey_id': survey_id,
                    'left_ms': int(timeout_s * 1000),
                    'revisions': with_revisions,
                }
            )
        with trio.move_on_after(timeout_s):
            for _ in forwarded_to:
                answer = await receive.receive()
                reached += answer['reached']
                revisions.update(answer['revisions'])
        for session in forwarded_to:
            session.survey_answers.pop(survey_id, None)
        return Result(reached, revisions)

    @staticmethod
    def handle_answer(
        session: session_module.Session, answer: messages.PeerSurveyAnswer
    ) -> None:
        """Pass an answer to its survey, if that still waits."""
        send = session.survey_answers.pop(answer['survey_id'], None)
        if send is not None:
            send.send_nowait(answer)


def answer_for_lost_link(session: session_module.Session) -> None:
    """Answer open surveys with zero for a link that was lost."""
    answers = dict(session.survey_answers)
    session.survey_answers.clear()
    for send in answers.values():
        send.send_nowait(link.Message(reached=0, revisions={}))
