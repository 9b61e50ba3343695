"""Tests of the non-blocking output."""

import os

import pytest

from mangoway.observability.output import MAX_BUFFERED_BYTES, BoundedOutput

LINE = b"x" * 1023 + b"\n"


@pytest.fixture
def pipe() -> "tuple[int, int]":
    return os.pipe()


class TestBoundedOutput:
    """Tests with a reader that keeps up, is slow, or is gone."""

    def test_lines_reach_the_reader(self, pipe: "tuple[int, int]") -> None:
        output = BoundedOutput(pipe[1])
        output.write("text\n")
        output.write(b"bytes\n")
        assert os.read(pipe[0], 100) == b"text\nbytes\n"

    def test_full_pipe_does_not_block_and_buffer_is_bounded(
        self, pipe: "tuple[int, int]"
    ) -> None:
        output = BoundedOutput(pipe[1])
        for _ in range(2 * MAX_BUFFERED_BYTES // len(LINE)):
            output.write(LINE)
        assert output._buffered_bytes <= MAX_BUFFERED_BYTES

    def test_dropped_lines_are_reported_once_the_reader_catches_up(
        self, pipe: "tuple[int, int]"
    ) -> None:
        output = BoundedOutput(pipe[1])
        reported: list[int] = []
        output.on_dropped = reported.append
        sent = 2 * MAX_BUFFERED_BYTES // len(LINE)
        for _ in range(sent):
            output.write(LINE)
        received = 0
        os.set_blocking(pipe[0], False)
        for _ in range(sent):
            try:
                received += len(os.read(pipe[0], 1 << 20))
            except BlockingIOError:
                break
            output.flush()
        assert sum(reported) == sent - received // len(LINE)

    def test_lines_stay_whole_behind_a_slow_reader(
        self, pipe: "tuple[int, int]"
    ) -> None:
        output = BoundedOutput(pipe[1])
        for number in range(200):
            output.write(f"{number:04d}".encode() + LINE)
        data = b""
        os.set_blocking(pipe[0], False)
        while True:
            try:
                data += os.read(pipe[0], 5000)
            except BlockingIOError:
                break
            output.flush()
        lines = data.split(b"\n")[:-1]
        assert [int(line[:4]) for line in lines] == list(range(200))

    def test_closed_reader_raises_no_error(self, pipe: "tuple[int, int]") -> None:
        output = BoundedOutput(pipe[1])
        os.close(pipe[0])
        output.write(LINE)
        output.write(LINE)
