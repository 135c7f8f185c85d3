#!/usr/bin/env python3
"""Generates test days with faults for a fleetbench site: one day per kind of fault, and days that mix two or three kinds.

    fleetbench kinds SITE | scripts/days.py SITE OUT [--seed N] [--mixes N]

Each day has the traffic of one of the site's own busy days. Its events are replaced by two events of one kind, or by
overlapping events of several kinds. Run a day with
`fleetbench run SITE OUT/NAME.toml --why ...`.
"""

import argparse
import pathlib
import random
import re
import sys
import tomllib

# The variants of each kind, as values of the field `how` that `fleetbench kinds` lists. A kind that is missing here has no
# variants.
VARIANTS = {
    "srv_crash": ["", "dark", "gone"],
    "srv_grey": ["errors", "shed", "busy", "hang", "reset", "mute", "slow"],
    "garble": ["", "extra", "unframed", "early", "extra late"],
    "node_kill": ["", "power", "leader", "leader race", "meet drain"],
    "node_freeze": ["", "leader", "meet drain"],
    "roll_term": ["", "busy", "remove"],
    "herd_kill": ["", "power", "off"],
    "after_ack_kill": ["", "kill", "timed"],
    "clock_step": ["ahead", "back"],
    "zone_cut": ["", "reset", "refuse", "meet drain"],
    "core_cut": ["", "leader", "reset", "refuse", "one_way", "seeds", "revoke meet"],
    "node_cut": ["", "all", "servers", "reset revoke", "refuse"],
    "platform_down": ["silent", "busy", "reset", "reset lapse", "nodes", "nodes busy revoke meet", "nodes leader"],
    "platform_lost": ["", "late"],
    "platform_compact": ["", "drain"],
    "config_change": ["route", "weights", "timeout", "tenant", "idle"],
    "revoke": ["", "last"],
    "scale_in": ["", "spot"],
    "srv_cut": ["", "fronts", "some", "one_way", "reset"],
    "replace_with_reuse": ["", "drain", "dark"],
}
# Kinds that belong to the plan of a day; all others are faults.
PLANNED = {"release", "scale_out", "scale_in", "roll_term", "config_change", "config_storm", "big_config", "revoke", "hup"}
# Fields that a kind needs in addition. A zone, a class of requests or a tenant is not among them, since fleetbench chooses one
# at random if none is given.
EXTRA_FIELDS = {"config_storm": {"for_s": 3.0, "gap_s": 0.2}, "big_config": {"count": 200}, "revoke": {"count": 2, "gap_s": 0.5}}


def parse_kinds(text):
    """Returns the kinds in the output of `fleetbench kinds`: the names at the starts of lines, except those of fields."""
    return [match[1] for match in re.finditer(r"^([a-z_]+): ", text, re.MULTILINE) if match[1] not in ("for_s", "share", "zone", "on")]


def make_event(kind, how, at, rng):
    fields = {"at": round(at, 2), "kind": kind, "how": how, **EXTRA_FIELDS.get(kind, {})}
    if kind not in PLANNED:
        fields.setdefault("for_s", round(rng.uniform(2.5, 6.0), 1))
    return fields


def to_toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {to_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[\n" + "".join(f"  {to_toml(item)},\n" for item in value) + "]"
    return repr(value)


def day_file(base, name, events, seed):
    fields = {key: value for key, value in base.items() if key not in ("plan", "faults", "closing", "labels")}
    fields |= {"name": name, "seed": seed, "plan": [], "faults": []}
    for event in events:
        fields["plan" if event["kind"] in PLANNED else "faults"].append(event)
    return "".join(f"{key} = {to_toml(value)}\n" for key, value in fields.items())


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("site")
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mixes", type=int, default=10)
    arguments = parser.parse_args()
    site = tomllib.loads(pathlib.Path(arguments.site).read_text())
    bases = [day for day in site["day"] if day["slot"] == "scale"] or site["day"]
    rng = random.Random(arguments.seed)
    arguments.out.mkdir(parents=True, exist_ok=True)
    variants = [(kind, how) for kind in parse_kinds(sys.stdin.read()) for how in VARIANTS.get(kind, [""])]
    days = {}
    for kind, how in variants:
        name = f"{kind}-{how.replace(' ', '-')}".strip("-")
        days[name] = [make_event(kind, how, at, rng) for at in (rng.uniform(2, 8), rng.uniform(16, 22))]
    for number in range(arguments.mixes):
        chosen = rng.sample(variants, rng.choice((2, 3)))
        days[f"mix-{number}"] = [make_event(kind, how, rng.uniform(4, 14), rng) for kind, how in chosen]
    for name, events in days.items():
        text = day_file(rng.choice(bases), name, events, rng.randrange(1 << 30))
        (arguments.out / f"{name}.toml").write_text(text)
    print(f"{len(days)} days in {arguments.out}")


if __name__ == "__main__":
    main()
