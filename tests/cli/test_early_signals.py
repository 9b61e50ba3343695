"""Tests of signals that reach a program while it is imported."""

import asyncio
import signal
import sys

import pytest

from ..stand_ins.launcher import ROOT

PROGRAM = """
import os, runpy, signal, sys, types

class Cli(types.ModuleType):
    @property
    def main(self):
        os.kill(os.getpid(), signal.SIGHUP)
        return lambda: print("imported")

sys.modules["mangoway.cli"] = Cli("mangoway.cli")
runpy.run_module("mangoway", run_name="__main__")
"""
"""Runs the command line, and sends itself a signal while its modules are imported."""


@pytest.mark.process
class TestEarlySignals:
    """Signals before the program has set its handlers."""

    async def test_signal_to_reload_does_not_end_the_process(self) -> None:
        """A changed settings file ended a process that had just been started."""
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-c", PROGRAM, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await child.communicate()
        assert child.returncode != -signal.SIGHUP
        assert b"imported" in output
