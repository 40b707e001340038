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
from gentianstair.peers import session

# Share of the time left that one hop leaves to the hops behind it.
HOP_SHARE = 0.8
REMEMBERED = 256
MAX_LEFT_MS = 10000


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
        sessions: typing.Callable[[], list[session.Session]],
    ) -> None:
        self._name = name
        self._revision = revision
        self._sessions = sessions
        self._seen: dict[str, None] = {}

    async def start(self, timeout_s: float, revisions: bool) -> Result:
        """Run a survey from here."""
        survey_id = f'{self._name}/{secrets.token_hex(6)}'
        self._remember(survey_id)
        return await self._ask(survey_id, timeout_s, revisions, None)

    async def answer(
        self, asker: session.Session, survey: messages.PeerSurvey
    ) -> None:
        """Answer a survey that came on a link."""
        survey_id = survey['survey_id']
        if survey_id in self._seen:
            found = Result(0, {})
        else:
            self._remember(survey_id)
            left_ms = min(survey['left_ms'], MAX_LEFT_MS)
            left_s = max(0, left_ms) / 1000 * HOP_SHARE
            wanted = survey['revisions']
            found = await self._ask(survey_id, left_s, wanted, asker)
        asker.add(
            {
                'type': 'survey_answer',
                'survey_id': survey_id,
                'reached': found.reached,
                'revisions': found.revisions,
            }
        )

    def _remember(self, survey_id: str) -> None:
        self._seen[survey_id] = None
        while len(self._seen) > REMEMBERED:
            del self._seen[next(iter(self._seen))]

    async def _ask(
        self,
        survey_id: str,
        left_s: float,
        wanted: bool,
        asker: session.Session | None,
    ) -> Result:
        reached = 1
        revisions = {self._name: self._revision()} if wanted else {}
        asked = [one for one in self._sessions() if one is not asker]
        send, receive = trio.open_memory_channel(math.inf)
        for one in asked:
            one.answers[survey_id] = send
            one.add(
                {
                    'type': 'survey',
                    'survey_id': survey_id,
                    'left_ms': int(left_s * 1000),
                    'revisions': wanted,
                }
            )
        with trio.move_on_after(left_s):
            for _ in asked:
                found = await receive.receive()
                reached += found['reached']
                revisions.update(found['revisions'])
        for one in asked:
            one.answers.pop(survey_id, None)
        return Result(reached, revisions)

    @staticmethod
    def take_answer(
        source: session.Session, answer: messages.PeerSurveyAnswer
    ) -> None:
        """Hand an answer to the survey that waits for it, if still so."""
        send = source.answers.pop(answer['survey_id'], None)
        if send is not None:
            send.send_nowait(answer)


def lost_link(source: session.Session) -> None:
    """Count the part behind a broken link as nought, at once."""
    answers = dict(source.answers)
    source.answers.clear()
    for send in answers.values():
        send.send_nowait(link.Message(reached=0, revisions={}))
