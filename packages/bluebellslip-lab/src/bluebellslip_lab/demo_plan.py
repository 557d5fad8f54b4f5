"""Instances, moves and traffic of the demo."""

import dataclasses
import datetime as dt
from pathlib import Path
from typing import Final

from bluebellslip_lab.behaviour import Behaviour, Defect
from bluebellslip_lab.mesh import Instance
from bluebellslip_lab.traffic import CallClass

MESH_NAME: Final = 'demo'
CONFIG_PATH: Final = Path(__file__).parent / 'data' / 'demo.jsonc'
UPLOAD_BYTES: Final = 5_000_000
_FAILING_BEHAVIOUR: Final = Behaviour(bad=Defect(fail_share=0.5))

INSTANCES: Final = (
    Instance(0, 'storefront', 'v1', 'a'),
    Instance(1, 'storefront', 'v1', 'b'),
    Instance(2, 'orders', 'v1', 'c'),
    Instance(3, 'artwork', 'v1', 'a'),
    Instance(4, 'portal', 'v1', 'b'),
    Instance(5, 'lodgement', 'v1', 'c'),
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedMove:
    """A move of the demo and the instances of its new version."""

    service: str
    version: str
    time_limit: dt.timedelta
    instances: tuple[Instance, ...]


GOOD_MOVE: Final = PlannedMove(
    service='orders',
    version='v2',
    time_limit=dt.timedelta(seconds=60),
    instances=(
        Instance(6, 'orders', 'v2', 'a'),
        Instance(7, 'orders', 'v2', 'b'),
    ),
)
BAD_MOVE: Final = PlannedMove(
    service='lodgement',
    version='v2',
    time_limit=dt.timedelta(seconds=60),
    instances=(
        Instance(8, 'lodgement', 'v2', 'a', behaviour=_FAILING_BEHAVIOUR),
        Instance(9, 'lodgement', 'v2', 'b', behaviour=_FAILING_BEHAVIOUR),
    ),
)
ALL_INSTANCES: Final = (*INSTANCES, *GOOD_MOVE.instances, *BAD_MOVE.instances)

CALLER_INSTANCES: Final = (INSTANCES[0], INSTANCES[3], INSTANCES[4])
KILLED_INSTANCE: Final = INSTANCES[1]

TRAFFIC: Final = (
    CallClass('samples', 'storefront', '/samples/7', 10),
    CallClass('order-status', 'orders', '/status/3', 40),
    CallClass(
        'deposits',
        'orders',
        '/deposits',
        30,
        method='POST',
        body_bytes=200,
        once=True,
        doubled=0.1,
    ),
    CallClass('applications', 'portal', '/applications/9', 10),
    CallClass(
        'submissions',
        'lodgement',
        '/submissions',
        30,
        method='POST',
        body_bytes=200,
        once=True,
        doubled=0.1,
    ),
    CallClass(
        'photos',
        'artwork',
        '/photos',
        0.5,
        method='POST',
        body_bytes=UPLOAD_BYTES,
        timeout_ms=20_000,
    ),
)
