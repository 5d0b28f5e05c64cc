#!/usr/bin/env python3
"""Fills in the tables of docs/CAPACITY.md from the sweeps in the journal.

The page names a sweep by the id of its journal entry, in the line `<!-- sweep: ID -->`; the text up to the next
`<!-- end -->` is replaced. With --check nothing is written, and the exit code is 1 if a table differs.
"""

import argparse
import json
import math
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
JOURNAL = ROOT / "journal"

BLOCK = re.compile(r"(<!-- sweep: ([0-9a-f]{8}) -->\n).*?(<!-- end -->)", re.DOTALL)
# The middle and the busiest node at one size.
PAIR = re.compile(r"([\d.]+) / ([\d.]+)")

# The sizes to which the busiest node is extrapolated.
LARGER = (340, 1000)
# The limits at 340 nodes; processor time, memory and bytes are those for control alone.
TARGETS = {
    "processor %": "1.8",
    "memory MB": "64",
    "kB a second": "9",
    "config in force, ms": "12,000",
    "serving after all were killed, ms": "3,000",
}


class SweepError(Exception):
    """A sweep that the journal does not have, or whose output has no table."""


def number(value):
    return f"{value:,.0f}" if value >= 100 else f"{value:.1f}"


def entry(sweep):
    found = list(JOURNAL.glob(f"*-{sweep}.json"))
    if len(found) != 1:
        raise SweepError(f"the journal has no entry {sweep}")
    return json.loads(found[0].read_text())


def rows(sweep, digest, count):
    """Returns the rows of a sweep's output: a name, and the middle and the busiest node of each size."""
    found = []
    for line in digest.splitlines():
        name = line.split("  ")[0].strip().removeprefix("entry: ")
        pairs = [(float(middle), float(busiest)) for middle, busiest in PAIR.findall(line)]
        if name and len(pairs) == count:
            found.append((name, pairs))
    if not found:
        raise SweepError(f"the output of the sweep {sweep} has no table")
    return found


def extrapolated(sizes, busiest, to):
    """Extrapolates the busiest node by the power that the last two sizes show, of 0 to 2."""
    before, after = busiest[-2:]
    if before <= 0.0 or after <= 0.0:
        return None
    power = math.log(after / before) / math.log(sizes[-1] / sizes[-2])
    return after * (to / sizes[-1]) ** min(max(power, 0.0), 2.0)


def day_row(day):
    broken = ", ".join(day["rules"]) or "none"
    counts = f"{day['balancers']} | {day['servers']:,}"
    return f"| {counts} | {day['served']:.3f} | {day['figure']:.3f} | {broken} |"


def measure_row(name, pairs, sizes):
    busiest = [busiest for _, busiest in pairs]
    cells = [f"{number(middle)} / {number(top)}" for middle, top in pairs]
    cells.append(f"{(busiest[-1] - busiest[-2]) / (sizes[-1] - sizes[-2]):+.2f}")
    for to in LARGER:
        value = extrapolated(sizes, busiest, to)
        cells.append("none" if value is None else number(value))
    return f"| {name} | {' | '.join(cells)} | {TARGETS.get(name, 'none')} |"


def table(sweep):
    recorded = entry(sweep)
    days = recorded["days"]
    if len(days) < 2:
        raise SweepError(f"the sweep {sweep} has fewer than two sizes")
    sizes = [day["balancers"] for day in days]
    heads = " | ".join(f"{size} nodes" for size in sizes)
    larger = " | ".join(f"at {size:,} (e)" for size in LARGER)
    lines = [
        f"Journal {sweep}, code {recorded['head'][:7]}.",
        "",
        "| nodes | backend servers | served | worth | rules broken |",
        "|---|---|---|---|---|",
        *map(day_row, days),
        "",
        f"| middle / busiest node | {heads} | for each further node | {larger} | target |",
        "|---" * (len(sizes) + len(LARGER) + 3) + "|",
    ]
    for name, pairs in rows(sweep, recorded["digest"], len(sizes)):
        lines.append(measure_row(name, pairs, sizes))
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true", help="compare the tables with the journal, write nothing")
    args = parser.parse_args()
    page = PAGE.read_text()
    try:
        filled = BLOCK.sub(lambda found: found[1] + table(found[2]) + found[3], page)
    except (SweepError, KeyError, ValueError, OSError) as error:
        print(f"tables.py: {error}", file=sys.stderr)
        return 2
    if args.check:
        if filled != page:
            print("docs/CAPACITY.md differs, run: python3 docs/capacity/tables.py", file=sys.stderr)
        return int(filled != page)
    PAGE.write_text(filled)
    return 0


if __name__ == "__main__":
    sys.exit(main())
