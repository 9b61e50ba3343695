"""Command line of the soak test: `python -m tests.soak --seeds 50`."""

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Final

from .order import EventIds
from .soak import FAULT_S, Result, async_soak
from .world import EDGES

VERSIONS_DIVISOR: Final = 4
"""Divisor of the new seeds with two software versions of the runners. A seed that is
given has them only on request, so that those that failed once stay as they were."""

EXTRAS_DIVISOR: Final = 5
EXTRAS_REMAINDER: Final = 2
"""New seeds in which runners send extra responses; a given one only on request too."""


PROMISES_DIVISOR: Final = 4
PROMISES_REMAINDER: Final = 3
"""New seeds in which runners fail requests with statuses that promise "not run", and
callers send requests again under their IDs; a given one only on request too."""


BROKEN_ENDINGS_DIVISOR: Final = 5
BROKEN_ENDINGS_REMAINDER: Final = 3
"""New seeds in which runners send responses without a length or chunks and are killed
in the middle of some; a given one only on request too."""


POWER_CUTS_DIVISOR: Final = 6
POWER_CUTS_REMAINDER: Final = 1
"""New seeds in which all edges are killed at once, or stopped one after the other; a
given one only on request too."""


CHANGING_DIVISOR: Final = 5
CHANGING_REMAINDER: Final = 2
"""New seeds in which entries, models, the leader's path and lengths of calls change; a
given one only on request."""

ODD_IDS_DIVISOR: Final = 7
ODD_IDS_REMAINDER: Final = 2
"""New seeds in which IDs of events don't rise by one; a given one only on request
too."""


def main() -> None:
    """Run soaks with the given or new random seeds; exit with 1 if one fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", type=int, default=4, help="number of new random seeds"
    )
    parser.add_argument(
        "--seed",
        type=int,
        action="append",
        help="seed to run; may be given several times",
    )
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--fault-s", type=float, default=FAULT_S)
    parser.add_argument(
        "--crashing", type=int, help="number of requests that crash their runners"
    )
    parser.add_argument("--edges", type=int, default=EDGES, help="number of edges")
    parser.add_argument(
        "--restoring",
        action="store_true",
        default=None,
        help="restore the store from copies in each seed",
    )
    parser.add_argument(
        "--cutting",
        action="store_true",
        default=None,
        help="cut edges off from all runners in each seed",
    )
    parser.add_argument(
        "--misbehaving",
        action="store_true",
        default=None,
        help="let runners leave unannounced, run on or send bytes without end",
    )
    parser.add_argument(
        "--versions",
        action="store_true",
        help="run two software versions of the runners in each seed; new seeds do so "
        "anyway if they are divisible by four",
    )
    parser.add_argument(
        "--extras",
        action="store_true",
        help="let runners send extra responses where the next ones are due; one new "
        "seed in five does so anyway",
    )
    parser.add_argument(
        "--promises",
        action="store_true",
        help='let runners fail requests with statuses that promise "not run", and '
        "callers send requests again under their IDs; one new seed in four does so "
        "anyway",
    )
    parser.add_argument(
        "--broken-endings",
        action="store_true",
        help="let runners send responses without a length or chunks, and kill some in "
        "the middle of them; one new seed in five does so anyway",
    )
    parser.add_argument(
        "--power-cuts",
        action="store_true",
        help="kill all edges at once, or stop one after the other, also behind a "
        "release of runners; one new seed in six does so anyway",
    )
    parser.add_argument(
        "--odd-ids",
        action="store_true",
        help="let IDs of events not rise by one; one new seed in seven does so anyway",
    )
    parser.add_argument(
        "--changing",
        action="store_true",
        help="let entries change their services, retire models, cut off the leader "
        "alone, and let calls take long; one new seed in five does so anyway",
    )
    parser.add_argument("--folder", type=Path, help="folder for the logs")
    options = parser.parse_args()
    seeds = options.seed or [
        SystemRandom().randrange(1, 10**9) for _ in range(options.seeds)
    ]
    folder = options.folder or Path(tempfile.mkdtemp(prefix="soak-"))
    results = asyncio.run(
        async_run_all(
            seeds,
            folder,
            options.at_once,
            options.fault_s,
            options.crashing,
            options.edges,
            options.restoring,
            options.cutting,
            lambda seed: (
                options.versions or (not options.seed and seed % VERSIONS_DIVISOR == 0)
            ),
            options.misbehaving,
            lambda seed: (
                options.extras
                or (not options.seed and seed % EXTRAS_DIVISOR == EXTRAS_REMAINDER)
            ),
            lambda seed: (
                options.promises
                or (not options.seed and seed % PROMISES_DIVISOR == PROMISES_REMAINDER)
            ),
            lambda seed: (
                options.broken_endings
                or (
                    not options.seed
                    and seed % BROKEN_ENDINGS_DIVISOR == BROKEN_ENDINGS_REMAINDER
                )
            ),
            lambda seed: (
                options.power_cuts
                or (
                    not options.seed
                    and seed % POWER_CUTS_DIVISOR == POWER_CUTS_REMAINDER
                )
            ),
            lambda seed: (
                options.odd_ids
                or (not options.seed and seed % ODD_IDS_DIVISOR == ODD_IDS_REMAINDER)
            ),
            lambda seed: (
                options.changing
                or (not options.seed and seed % CHANGING_DIVISOR == CHANGING_REMAINDER)
            ),
        )
    )
    failed = [each.seed for each in results if each.violations]
    print(f"{len(results)} seeds, {len(failed)} failed {failed}; logs in {folder}")
    sys.exit(1 if failed else 0)


async def async_run_all(
    seeds: list[int],
    folder: Path,
    at_once: int,
    fault_s: float,
    crashing: int | None = None,
    edges: int = EDGES,
    restoring: bool | None = None,
    cutting: bool | None = None,
    versions: Callable[[int], bool] = lambda seed: False,
    misbehaving: bool | None = None,
    extras: Callable[[int], bool] = lambda seed: False,
    promises: Callable[[int], bool] = lambda seed: False,
    broken_endings: Callable[[int], bool] = lambda seed: False,
    power_cuts: Callable[[int], bool] = lambda seed: False,
    odd_ids: Callable[[int], bool] = lambda seed: False,
    changing: Callable[[int], bool] = lambda seed: False,
) -> list[Result]:
    """Run one soak for each seed, at most `at_once` at a time."""
    slots = asyncio.Semaphore(at_once)

    async def async_one(seed: int) -> Result:
        async with slots:
            logs = folder / str(seed)
            logs.mkdir(parents=True, exist_ok=True)
            result = await async_soak(
                seed,
                logs,
                fault_s,
                crashing,
                edges,
                restoring,
                cutting,
                versions(seed),
                misbehaving,
                extras(seed),
                promises(seed),
                broken_endings(seed),
                power_cuts(seed),
                odd_ids(seed),
                changing(seed),
            )
            print_result(result)
            return result

    return list(await asyncio.gather(*(async_one(seed) for seed in seeds)))


def print_result(result: Result) -> None:
    """Print the result of a soak."""
    verdict = "FAILED" if result.violations else "held"
    flag = " --versions" if result.has_versions else ""
    flag += " --extras" if result.has_extras else ""
    flag += " --promises" if result.has_promises else ""
    flag += " --broken-endings" if result.has_broken_endings else ""
    flag += " --power-cuts" if result.has_power_cuts else ""
    flag += " --changing" if result.has_changes else ""
    flag += "" if result.event_ids is EventIds.RISING else " --odd-ids"
    disorders = ", ".join(f"{count} {name}" for name, count in result.disorders.items())
    print(
        f"seed {result.seed}{flag}: {verdict}, "
        f"{result.served} of {result.calls} served; "
        f"{result.crashes} crashes by requests, "
        f"{result.wrongly_blocked} other requests blocked; "
        f"{result.restores} restores of the store; "
        f"{result.pours} endless responses; "
        f"{result.extras} extra responses; "
        f"{result.own_failures} false failures, {result.kept_ids} kept ids; "
        f"{result.unframed} unframed responses, {result.cut_unframed} cut; "
        f"{result.power_cuts} power cuts, {result.rolling_stops} rolling stops; "
        f"{result.changes} changes; "
        f"{result.event_ids.value} event ids; "
        f"{result.went_on} of {result.resumed} resumed streams went on; "
        f"order of {result.judged} streams: {disorders}; "
        f"{', '.join(result.faults)}",
        flush=True,
    )
    for each in result.violations[:10]:
        print(f"  {each}", flush=True)


if __name__ == "__main__":
    main()
