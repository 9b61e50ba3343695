"""Tests of the garbage collector configuration."""

import gc

from mangoway.util.collector import freeze_startup_objects


class TestFreezeStartupObjects:
    """Objects that exist at the call are exempt from later collections."""

    def test_existing_objects_are_exempt(self) -> None:
        kept: list[object] = []
        freeze_startup_objects()
        try:
            assert all(each is not kept for each in gc.get_objects())
            assert gc.get_freeze_count() > 0
        finally:
            gc.unfreeze()
