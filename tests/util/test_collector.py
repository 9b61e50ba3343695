"""Tests of the settings of the garbage collector."""

import gc

from mangoway.util.collector import freeze_startup_objects


class TestExemptStart:
    """What was made before takes no part in later collections."""

    def test_what_is_there_is_not_collected_again(self) -> None:
        kept: list[object] = []
        freeze_startup_objects()
        try:
            assert all(each is not kept for each in gc.get_objects())
            assert gc.get_freeze_count() > 0
        finally:
            gc.unfreeze()
