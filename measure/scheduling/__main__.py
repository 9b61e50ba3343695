"""Prints the core's processor time a request, by size and by what waits."""

import argparse
from typing import Final

from .fleet import Fleet, Size

SIZES: Final = (
    Size(runners=6, models=13),
    Size(runners=20, models=50),
    Size(runners=70, models=171),
    Size(runners=200, models=500),
)
CALM_USE: Final = 0.25
PRESSED_USE: Final = 1.1
"""Reading that is asked for beside what all runners can read. Popular models need
copies on all runners to get their part, so the second is more than can be served."""


def main() -> None:
    """Play each size twice and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0, help="of virtual time")
    seconds = parser.parse_args().seconds
    print("| runners, models | nothing waits | much waits | that wait, granted |")
    print("|---|---|---|---|")
    for size in SIZES:
        calm = Fleet(size, CALM_USE).simulate(seconds)
        pressed = Fleet(size, PRESSED_USE).simulate(seconds)
        print(
            f"| {size.runners}, {size.models} | {calm.ms_per_request:.3f} ms "
            f"({calm.mean_waiting:.1f} wait) | {pressed.ms_per_request:.3f} ms | "
            f"{pressed.mean_waiting:.0f}, {pressed.granted / pressed.requests:.2f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
