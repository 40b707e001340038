"""Test that what processes write tells which sources they run."""

import io
import json
import pathlib
import shutil

import loguru
import prometheus_client
import pytest

import gentianstair
from gentianstair.generated import events
from gentianstair.util import build_info
from gentianstair.util import logs

SOURCES = pathlib.Path(gentianstair.__file__).parent
# Collectors of logs have cut lines to this length.
CUT_LINE_CHARS = 200


@pytest.fixture
def copied(tmp_path):
    folder = tmp_path / 'gentianstair'
    shutil.copytree(SOURCES, folder)
    return folder


def test_copy_of_the_sources_is_the_same_build(copied):
    assert build_info.digest_of(copied) == build_info.build()


@pytest.mark.parametrize(
    'change',
    [
        lambda folder: (folder / 'errors.py').write_text(''),
        lambda folder: (folder / 'errors.py').rename(folder / 'error.py'),
        lambda folder: (folder / 'verdict.py').unlink(),
        lambda folder: (folder / 'core/new.py').write_text(''),
    ],
    ids=['changed', 'renamed', 'removed', 'added'],
)
def test_other_sources_are_another_build(copied, change):
    # Guards against records of two builds that can't be told apart.
    change(copied)
    assert build_info.digest_of(copied) != build_info.build()


def test_cut_line_still_names_its_build():
    # Guards against a record of cut lines that nobody can date.
    stream = io.StringIO()
    logs.setup('INFO', 'front-north-1', 'north', stream)
    try:
        loguru.logger.bind(
            event=events.ANSWER,
            request_id='9c41d07be2a35f68',
            status=503,
            verdict='MAY_HAVE_RUN',
            route='a-route-with-a-long-name',
        ).info('answered {}', 503)
        loguru.logger.bind(event=events.STARTED).info('serving')
    finally:
        loguru.logger.remove()
    answered, started = stream.getvalue().splitlines()
    assert f'"build": "{build_info.build()}"' in answered[:CUT_LINE_CHARS]
    assert json.loads(started)['build'] == build_info.build()


def test_metric_names_the_build():
    build_info.publish()
    labels = {'build': build_info.build()}
    assert prometheus_client.REGISTRY.get_sample_value(
        'gentianstair_build_info', labels
    )
