"""Test the whole path through separate processes."""

import concurrent.futures
import hashlib
import json
import signal
import threading
import time

import httpx
import openai
import pytest

from standins import fleet
from standins.engine import words

KEY = 'a-caller-key'
MODEL = 'judge'
PROMPT = 'why does bowl seven win'
LIMIT_S = 20.0
AUTH = {'authorization': f'Bearer {KEY}'}

OBJECTS = {
    'customer/burlwood': {
        'weight': 1.0,
        'requests_per_s': 0.0,
        'tokens_per_s': 0.0,
        'concurrent': 0,
        'enabled': True,
    },
    f'key/{hashlib.sha256(KEY.encode()).hexdigest()}': {
        'customer': 'burlwood',
        'label': '',
        'revoked': False,
    },
    'bundle/1': {
        'number': 1,
        'models': {
            MODEL: {
                'engine_model': MODEL,
                'adapter': None,
                'customers': [],
                'share_prefixes': False,
            }
        },
        'settings': {},
        'note': '',
        'signature': '',
    },
    'accepted/current': {'number': 1, 'previous': 0},
}


def upstream(url, kind='engine', model=MODEL):
    return {
        'url': url,
        'type': kind,
        'failure_domain': 'north',
        'capacity_class': 'on-demand',
        'state': 'active',
        'role': 'mixed',
        'models': [model],
        'checks_fencing': True,
        'concurrent': 64,
    }


def store(platform_url, objects):
    """Put objects into an empty store."""
    for name, value in objects.items():
        httpx.put(
            f'{platform_url}/v1/objects/{name}',
            params={'expect_version': 0},
            json=value,
        ).raise_for_status()


def wait_ready(url):
    end_s = time.monotonic() + LIMIT_S
    while time.monotonic() < end_s:
        if httpx.get(f'{url}/readyz').status_code == 200:
            return
        time.sleep(0.05)
    raise AssertionError('not ready')


ENGINES = {'engine-1': ('--time-scale=3',), 'engine-2': ('--time-scale=3',)}


@pytest.fixture
def run(tmp_path, request):
    """Yield a running fleet of two engines, a service and two entries.

    A test's parameter gives the flags of the engines, by name.
    """
    group = fleet.Fleet(tmp_path)
    engines = getattr(request, 'param', ENGINES)
    try:
        platform = group.start('platform', 'standins.platform')
        objects = dict(OBJECTS)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            for name, flags in engines.items():
                pool.submit(group.start, name, 'standins.engine', *flags)
            pool.submit(group.start, 'service', 'standins.service')
        for name in engines:
            objects[f'upstream/{name}'] = upstream(group.processes[name].url)
        objects['upstream/service'] = upstream(
            group.processes['service'].url, 'service', 'registration'
        )
        store(platform.url, objects)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            for number in (1, 2):
                pool.submit(start_entry, group, number, platform.url)
        for number in (1, 2):
            wait_ready(group.processes[f'entry-{number}'].url)
        yield group
    finally:
        group.stop_all()


def start_entry(group, number, platform_url):
    """Start an entry VM."""
    group.start(
        f'entry-{number}',
        'gentianstair.entry',
        f'--vm-name=vm-{number}',
        '--failure-domain=north',
        f'--platform-url={platform_url}',
        '--listen=127.0.0.1:0',
        '--operator-listen=127.0.0.1:0',
        '--peer-listen=127.0.0.1:0',
        '--claim-listen=127.0.0.1:0',
        '--leave-wait-s=0.2',
    )


def stream(url, prompt, tokens, on_event=lambda count: None):
    """Return the text of a streamed answer and whether it ended whole."""
    body = {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': True,
    }
    parts = []
    ended = False
    with httpx.stream(
        'POST',
        f'{url}/v1/completions',
        json=body,
        headers=AUTH,
        timeout=LIMIT_S,
    ) as response:
        for line in response.iter_lines():
            ended = ended or line == 'data: [DONE]'
            if line.startswith('data: {'):
                event = json.loads(line[6:])
                assert 'error' not in event, event
                parts.append(event['choices'][0]['text'])
                on_event(len(parts))
    return ''.join(parts), ended


def running_on(group):
    """Return the name of an engine that has started a request."""
    for name in ('engine-1', 'engine-2'):
        url = f'{group.processes[name].url}/load'
        if httpx.get(url).json()['running']:
            return name
    raise AssertionError('nothing runs')


@pytest.mark.process
def test_an_ordinary_client_library_works(run):
    url = run.processes['entry-1'].url
    client = openai.OpenAI(
        base_url=f'{url}/v1', api_key=KEY, max_retries=0, timeout=LIMIT_S
    )
    assert [model.id for model in client.models.list()] == [MODEL]
    messages = [{'role': 'user', 'content': PROMPT}]
    whole = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=5
    )
    expected = words.answer(MODEL, PROMPT, 5)
    assert whole.choices[0].message.content == expected
    assert whole.usage.completion_tokens == 5
    chunks = client.chat.completions.create(
        model=MODEL,
        messages=messages,
        max_tokens=5,
        stream=True,
        stream_options={'include_usage': True},
    )
    text = ''
    usage = None
    for chunk in chunks:
        usage = chunk.usage or usage
        for choice in chunk.choices:
            text += choice.delta.content or ''
    assert text == expected
    assert usage.completion_tokens == 5
    with pytest.raises(openai.AuthenticationError):
        openai.OpenAI(
            base_url=f'{url}/v1', api_key='wrong', max_retries=0
        ).models.list()


@pytest.mark.process
@pytest.mark.promise
@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGTERM])
def test_an_engine_that_goes_mid_stream_leaves_a_whole_answer(run, number):
    """A judge watches a draft appear; its engine is killed half-way.

    Or it is asked to stop and gives up its streams after a while. The
    draft must go on from the next word: no gap, no repeat, one ending.
    """
    gone = []

    def lose_engine(count):
        if count == 15 and not gone:
            gone.append(running_on(run))
            run.processes[gone[0]].send(number)

    url = run.processes['entry-1'].url
    text, ended = stream(url, PROMPT, 60, lose_engine)
    assert gone
    assert ended
    assert text == words.answer(MODEL, PROMPT, 60)


@pytest.mark.process
@pytest.mark.promise
def test_a_planned_stop_of_an_entry_vm_cuts_no_request(run):
    """An operator replaces an entry VM at noon of the show.

    Twenty drafts are being streamed through it. Each must reach its end,
    and the process must exit by itself, with success.
    """
    url = run.processes['entry-1'].url
    begun = threading.Semaphore(0)

    def on_event(count):
        if count == 1:
            begun.release()

    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        prompts = [f'{PROMPT} {number}' for number in range(20)]
        answers = [
            pool.submit(stream, url, text, 60, on_event) for text in prompts
        ]
        for _ in prompts:
            assert begun.acquire(timeout=LIMIT_S)
        assert not all(answer.done() for answer in answers)
        code = run.stop('entry-1', LIMIT_S)
        found = [answer.result(LIMIT_S) for answer in answers]
    assert code == 0
    for prompt, (text, ended) in zip(prompts, found, strict=True):
        assert ended
        assert text == words.answer(MODEL, prompt, 60)


def write(group, path, value):
    """Write an object over what is there."""
    url = f'{group.processes["platform"].url}/v1/objects/{path}'
    found = httpx.get(url).json()
    expect = found['version'] if found['value'] is not None else 0
    params = {'expect_version': expect}
    httpx.put(url, params=params, json=value).raise_for_status()
    return value


@pytest.mark.process
@pytest.mark.promise
def test_no_planned_change_cuts_a_request(run):
    """Operators work through the show while twelve drafts are streamed.

    They roll out a bundle, grant a key, drain an engine, stop it, and have
    the other one change its role. Every draft must reach its end.
    """
    url = run.processes['entry-1'].url
    names = ('engine-1', 'engine-2')
    values = {name: upstream(run.processes[name].url) for name in names}
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        prompts = [f'{PROMPT} {number}' for number in range(12)]
        answers = [pool.submit(stream, url, text, 60) for text in prompts]
        time.sleep(0.3)
        write(run, 'bundle/2', {**OBJECTS['bundle/1'], 'number': 2})
        write(run, 'accepted/current', {'number': 2, 'previous': 1})
        digest = hashlib.sha256(b'another').hexdigest()
        granted = {'customer': 'burlwood', 'label': '', 'revoked': False}
        write(run, f'key/{digest}', granted)
        leaving = {**values['engine-1'], 'state': 'draining'}
        write(run, 'upstream/engine-1', leaving)
        order = {
            'epoch': 1,
            'order_number': 1,
            'holder': 'test',
            'type': 'set_role',
            'argument': 'decode',
        }
        ordered = httpx.post(f'{values["engine-2"]["url"]}/orders', json=order)
        assert ordered.status_code == 200
        assert run.stop('engine-1', LIMIT_S) == 0
        found = [answer.result(LIMIT_S) for answer in answers]
    for prompt, (text, ended) in zip(prompts, found, strict=True):
        assert ended
        assert text == words.answer(MODEL, prompt, 60)
    models = httpx.get(
        f'{url}/v1/models', headers={'authorization': 'Bearer another'}
    )
    assert models.status_code == 200


LEAVING_S = 5.0


@pytest.mark.process
@pytest.mark.promise
@pytest.mark.parametrize('state', ['draining', 'withdrawn'])
def test_a_leaving_engine_gets_no_new_work(run, state):
    """An operator takes an engine away while drafts keep coming.

    Through both VMs new drafts are asked for without a pause. Some seconds
    after the change none may start at the engine that leaves, and none of
    those that run there is cut.
    """
    entries = [run.processes[f'entry-{number}'].url for number in (1, 2)]
    engine = run.processes['engine-1']
    stop = threading.Event()

    def ask(worker):
        count = 0
        while not stop.is_set():
            count += 1
            prompt = f'{PROMPT} {worker} {count}'
            text, ended = stream(entries[worker % 2], prompt, 6)
            assert ended
            assert text == words.answer(MODEL, prompt, 6)
        return count

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        asked = [pool.submit(ask, worker) for worker in range(8)]
        time.sleep(1.0)
        leaving = {**upstream(engine.url), 'state': state}
        write(run, 'upstream/engine-1', leaving)
        changed_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        time.sleep(LEAVING_S)
        stop.set()
        assert sum(answer.result(LIMIT_S) for answer in asked) > 50
    events = httpx.get(f'{engine.url}/switch/history').json()['events']
    started = [e['at_s'] for e in events if e['type'] == 'request_started']
    assert started
    last_s = max(started) - changed_s
    print(f'last request {last_s:.3f} s after the change')
    assert last_s < LEAVING_S / 2


@pytest.mark.process
@pytest.mark.promise
def test_a_registration_runs_once_across_vms_and_a_kill(run):
    """A caller's registration is cut by the kill of its VM; it asks again.

    Through the other VM it gets the first outcome or is told that it may
    have run. Never is there a second entry in the catalogue.
    """
    second = run.processes['entry-2'].url

    def register(url, key, body=None):
        return httpx.post(
            f'{url}/services/registration/register',
            json=body or {'piece': key},
            headers={**AUTH, 'idempotency-key': key},
            timeout=LIMIT_S,
        )

    first = run.processes['entry-1'].url
    done = register(first, 'piece-1')
    assert done.status_code == 200
    again = register(second, 'piece-1')
    assert again.json() == done.json()
    assert again.headers['idempotency-replayed'] == 'true'
    other = register(second, 'piece-1', {'piece': 'another'})
    assert other.status_code == 422
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        keys = [f'cut-{number}' for number in range(8)]
        cut = [pool.submit(register, first, key) for key in keys]
        time.sleep(0.02)
        run.kill('entry-1')
        concurrent.futures.wait(cut, LIMIT_S)
    for key in keys:
        answer = register(second, key)
        if answer.status_code != 200:
            assert answer.json()['verdict'] == 'MAY_HAVE_RUN'
    service = run.processes['service'].url
    events = httpx.get(f'{service}/switch/history').json()['events']
    ran = [
        event['data']['idempotency_key']
        for event in events
        if event['type'] == 'run'
    ]
    assert len(ran) == len(set(ran)), ran
    assert 'piece-1' in ran
    assert KEY not in json.dumps(events)


@pytest.mark.process
@pytest.mark.parametrize(
    ('run', 'moved'),
    [
        (
            {
                'engine-1': ('--role=prefill',),
                'engine-2': ('--role=decode',),
            },
            True,
        ),
        # The reading engine is lost: the other one reads the prompt itself
        # and the caller sees no difference.
        (
            {
                'engine-1': ('--role=prefill',),
                'engine-2': ('--role=decode',),
            },
            False,
        ),
    ],
    indirect=['run'],
)
def test_a_long_prompt_is_read_on_one_engine_and_answered_on_another(
    run, moved
):
    entry = run.processes['entry-1']
    time.sleep(1.5)
    if not moved:
        run.kill('engine-1')
    prompt = ' '.join(f'rule-{number}' for number in range(3000))
    body = {'model': MODEL, 'prompt': prompt, 'max_tokens': 20}
    answer = httpx.post(
        f'{entry.url}/v1/completions', json=body, headers=AUTH, timeout=LIMIT_S
    )
    found = answer.json()
    assert found['choices'][0]['text'] == words.answer(MODEL, prompt, 20)
    cached = found['usage']['prompt_tokens_details']['cached_tokens']
    assert (cached > 2000) == moved
    steps = httpx.get(
        f'http://{fleet.HOST}:{entry.ports[1]}/operator/explain/'
        + answer.headers['x-request-id']
    ).json()['steps']
    assert ('split' in [step['step'] for step in steps]) == moved
