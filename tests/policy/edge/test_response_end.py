"""Tests of the judgement of responses that end with their connections."""

import pytest

from mangoway.policy.edge.const import MIN_RESTART_S
from mangoway.policy.edge.response_end import (
    EndProbe,
    Probed,
    ResponseEnd,
    judge_probe,
)

EARLY = MIN_RESTART_S / 2
LATE = MIN_RESTART_S


class TestProbe:
    """What a new connection shows."""

    @pytest.mark.parametrize(
        ("probed", "since_s", "is_same", "expected"),
        [
            (Probed.REFUSED, EARLY, None, ResponseEnd.ENDED),
            (Probed.REFUSED, LATE, None, ResponseEnd.ENDED),
            (Probed.CLOSED, EARLY, None, None),
            (Probed.SILENT, EARLY, None, None),
            (Probed.KEPT_OPEN, EARLY, None, ResponseEnd.GOES_ON),
            (Probed.KEPT_OPEN, LATE, None, None),
            (Probed.KEPT_OPEN, LATE, True, ResponseEnd.GOES_ON),
            (Probed.KEPT_OPEN, LATE, False, ResponseEnd.REPLACED),
            (Probed.KEPT_OPEN, EARLY, False, ResponseEnd.REPLACED),
        ],
    )
    def test_only_the_runner_itself_proves_to_go_on(
        self,
        probed: Probed,
        since_s: float,
        is_same: bool | None,
        expected: ResponseEnd | None,
    ) -> None:
        probe = EndProbe(probed=probed, since_end_s=since_s, is_same=is_same)
        assert judge_probe(probe) is expected

    @pytest.mark.parametrize("end", list(ResponseEnd))
    def test_nothing_but_a_proof_makes_a_response_complete(
        self, end: ResponseEnd
    ) -> None:
        proofs = (ResponseEnd.FRAMED, ResponseEnd.GOES_ON)
        assert end.is_complete == (end in proofs)
