"""Count the VMs within reach, and ask them for their revisions.

A survey is a wave over the links: a node that hears of it first asks its
other links, adds their answers to its own and answers; one that knows the
survey already answers nought at once. So each VM is counted once, and only
if bytes pass both ways.
"""

import math
import secrets
import typing

import trio

from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import session as session_module

# Share of the time left that one hop leaves to the hops behind it.
HOP_TIMEOUT_SHARE = 0.8
MAX_REMEMBERED_SURVEYS = 256
MAX_TIMEOUT_MS = 10000


class Result(typing.NamedTuple):
    """How many VMs answered, this one included, and what they said."""

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
        """Run a survey from here."""
        survey_id = f'{self._name}/{secrets.token_hex(6)}'
        self._remember(survey_id)
        return await self._flood(survey_id, timeout_s, revisions, None)

    async def answer(
        self, requester: session_module.Session, survey: messages.PeerSurvey
    ) -> None:
        """Answer a survey that came on a link."""
        survey_id = survey['survey_id']
        if survey_id in self._seen:
            found = Result(0, {})
        else:
            self._remember(survey_id)
            timeout_ms = min(survey['left_ms'], MAX_TIMEOUT_MS)
            timeout_s = max(0, timeout_ms) / 1000 * HOP_TIMEOUT_SHARE
            with_revisions = survey['revisions']
            found = await self._flood(
                survey_id, timeout_s, with_revisions, requester
            )
        requester.queue(
            {
                'type': 'survey_answer',
                'survey_id': survey_id,
                'reached': found.reached,
                'revisions': found.revisions,
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
        asked = [
            session for session in self._sessions() if session is not requester
        ]
        send, receive = trio.open_memory_channel(math.inf)
        for session in asked:
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
            for _ in asked:
                found = await receive.receive()
                reached += found['reached']
                revisions.update(found['revisions'])
        for session in asked:
            session.survey_answers.pop(survey_id, None)
        return Result(reached, revisions)

    @staticmethod
    def handle_answer(
        source: session_module.Session, answer: messages.PeerSurveyAnswer
    ) -> None:
        """Hand an answer to the survey that waits for it, if still so."""
        send = source.survey_answers.pop(answer['survey_id'], None)
        if send is not None:
            send.send_nowait(answer)


def answer_for_lost_link(source: session_module.Session) -> None:
    """Count the part behind a broken link as nought, at once."""
    answers = dict(source.survey_answers)
    source.survey_answers.clear()
    for send in answers.values():
        send.send_nowait(link.Message(reached=0, revisions={}))
