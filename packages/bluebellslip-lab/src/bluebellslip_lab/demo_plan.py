"""What the demo consists of: places, versions and traffic."""

import datetime as dt
from pathlib import Path
from typing import Final

from bluebellslip_lab.behaviour import Badness, Behaviour
from bluebellslip_lab.mesh import Place
from bluebellslip_lab.traffic import CallClass

MESH: Final = 'demo'
CONFIG: Final = Path(__file__).parent / 'data' / 'demo.jsonc'
GOOD_DEADLINE: Final = dt.timedelta(seconds=50)
BAD_DEADLINE: Final = dt.timedelta(seconds=60)
UPLOAD_BYTES: Final = 5_000_000
MOVED: Final = 'orders'
GOOD: Final = 'v2'
BAD: Final = 'v3'

_BADNESS: Final = Behaviour(bad=Badness(fail_share=0.5, path='/deposits'))

PLACES: Final = (
    Place(0, 'storefront', 'v1', 'a'),
    Place(1, 'storefront', 'v1', 'b'),
    Place(2, MOVED, 'v1', 'c'),
    Place(3, 'artwork', 'v1', 'a'),
    Place(4, 'portal', 'v1', 'b'),
    Place(5, 'lodgement', 'v1', 'c'),
)
GOOD_PLACES: Final = (
    Place(6, MOVED, GOOD, 'a'),
    Place(7, MOVED, GOOD, 'b'),
)
BAD_PLACES: Final = (
    Place(8, MOVED, BAD, 'a', behaviour=_BADNESS),
    Place(9, MOVED, BAD, 'b', behaviour=_BADNESS),
)
ALL_PLACES: Final = (*PLACES, *GOOD_PLACES, *BAD_PLACES)

CALLERS: Final = (PLACES[0], PLACES[3], PLACES[4])
KILLED: Final = PLACES[1]

TRAFFIC: Final = (
    CallClass('samples', 'storefront', '/samples/7', 10),
    CallClass('order-status', MOVED, '/status/3', 40),
    CallClass(
        'deposits',
        MOVED,
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
        5,
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
