"""Test that what is read of settings and configuration is used."""

import pathlib
import re

from gentianstair.gateway import catalog
from gentianstair.gateway import deployment

SOURCES = pathlib.Path(deployment.__file__).parent.parent
TYPES = (
    deployment.Bounds,
    deployment.Deployment,
    catalog.Route,
    catalog.Engine,
    catalog.Scaling,
    catalog.Service,
    catalog.Limits,
    catalog.Customer,
    catalog.Catalog,
)
# Nothing goes by these; why that breaks no promise.
UNUSED = {
    'duty_calls_per_s': 'duties call far less often',
    'config_stretch_s': 'a bound of ours is never stretched',
    'orders_fenced': 'each call bears its fencing token either way',
    'max_connections': 'connections beyond it are reset, and tried elsewhere',
    'health_path': 'health is told by answers and by the registry',
    'carries_prompts': 'a prompt is told by its own headers',
    'min_replicas': 'the platform bounds each order by it',
}


def _uses(name):
    """Return whether any source outside of the decoding uses a field."""
    pattern = re.compile(rf'\.{name}\b')
    folders = [f for f in SOURCES.iterdir() if f.is_dir()]
    return any(
        pattern.search(file.read_text())
        for folder in folders
        if folder.name not in ('platform', 'bench', 'generated')
        for file in folder.glob('*.py')
    )


def test_each_field_that_is_read_is_used():
    # Guards against a setting that operators give and nothing keeps.
    fields = {name for found in TYPES for name in found._fields}
    assert {name for name in fields if not _uses(name)} == set(UNUSED)
