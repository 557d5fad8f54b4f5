"""A clock whose time of day can be set."""

import datetime as dt

from bluebellslip._internal.kernel.clock import ManualClock


class SteppedClock(ManualClock):
    """A manual clock whose time of day is off by ``step``."""

    def __init__(self) -> None:
        super().__init__()
        self.step = dt.timedelta()

    def now(self) -> dt.datetime:
        return super().now() + self.step
