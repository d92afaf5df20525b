#!/usr/bin/env python3
"""Plays two or more checkouts of the project by turns on the same days and seeds, and says
which differences in worth exceed the spread.

    deploy/rounds.py BENCH SITE base=DIR change=DIR --days trouble-1,scale-1 --plays 3

BENCH is the path of fleetbench, SITE a site file. Each DIR is a built checkout; the first one
is the base. Each play leaves its journal entry in its checkout. `--seeds 0,5,9` sets the
seeds (0: the day's own); each seed is played `--plays` times.
"""

import argparse
import concurrent.futures
import json
import statistics
import subprocess
import tempfile
import tomllib


def days_with_trouble(site):
    """Names of the standard days of a site but the quiet ones."""
    with open(site, "rb") as file:
        days = tomllib.load(file)["day"]
    return [day["name"] for day in days if day.get("slot") != "quiet"]


def play(options, day, seed, checkout):
    """Plays one day, and returns its report, or None if there is none. Prints broken rules."""
    name, directory = checkout
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [options.bench, "run", options.site, day, "--report", report.name]
        command += ["--seed", str(seed)] if seed else []
        command += ["--why", f"{options.why} ({name})"]
        ran = subprocess.run(command, cwd=directory, capture_output=True, text=True)
        try:
            with open(report.name) as file:
                found = json.load(file)
        except ValueError:
            print(f"{name} {day} seed {seed}: no report\n{ran.stdout}{ran.stderr}")
            return None
    if found["fault"] or found["breaks"]:
        print(f"{name} {day} seed {seed}: {found['fault']} {found['breaks']}")
    return found


def spread(values):
    """Standard error of a mean; 0 for a single value."""
    if len(values) < 2:
        return 0.0
    return statistics.stdev(values) / len(values) ** 0.5


def compare(base, change):
    """Difference of two means, twice its standard error, and the verdict."""
    difference = statistics.mean(change) - statistics.mean(base)
    noise = 2 * (spread(base) ** 2 + spread(change) ** 2) ** 0.5
    verdict = "within the spread"
    if abs(difference) > noise and len(base) > 1 and len(change) > 1:
        verdict = "better" if difference > 0 else "worse"
    return f"{difference:+.4f} +-{noise:.4f} {verdict}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("checkouts", nargs="+", metavar="NAME=DIR")
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", default="0")
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", default="Round")
    options = parser.parse_args()
    checkouts = [tuple(text.split("=", 1)) for text in options.checkouts]
    days = options.days.split(",") if options.days else days_with_trouble(options.site)
    seeds = [int(seed) for seed in options.seeds.split(",")]
    plays = [
        (day, seed, checkout)
        for _ in range(options.plays)
        for seed in seeds
        for day in days
        for checkout in checkouts
    ]
    worth = {(name, day): [] for name, _ in checkouts for day in days}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        reports = pool.map(lambda entry: play(options, *entry), plays)
        for (day, _, (name, _)), report in zip(plays, reports):
            if report:
                worth[name, day].append(report["G"])
    base = checkouts[0][0]
    for day in days + ["mean"]:
        for name, _ in checkouts:
            if day == "mean":
                rounds = zip(*(worth[name, other] for other in days))
                worth[name, day] = [statistics.mean(values) for values in rounds]
            values = worth[name, day]
            if not values:
                continue
            span = f"[{min(values):.3f} {max(values):.3f}] n={len(values)}"
            line = f"{day:10} {name:12} {statistics.mean(values):.4f} {span}"
            if name != base and worth[base, day]:
                line += " " + compare(worth[base, day], values)
            print(line, flush=True)


if __name__ == "__main__":
    main()
