#!/usr/bin/env python3
"""Writes days of trouble for a deployment of the users' bench: one for each kind of trouble, and mixes of two or three.

    fleetbench kinds SITE | scripts/days.py SITE OUT [--seed N] [--mixes N]

Each day has the traffic of one of the site's own busy days and, in place of its troubles, those of one kind, twice, or of some kinds that overlap. Play one with
`fleetbench run SITE OUT/NAME.toml --why ...`.
"""

import argparse
import pathlib
import random
import re
import sys
import tomllib

# Variants of the kinds, by the words that `fleetbench kinds` gives for `how`; a kind that isn't here has none.
HOWS = {
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
PLANNED = {"release", "scale_out", "scale_in", "roll_term", "config_change", "config_storm", "big_config", "revoke", "hup"}
# Kinds that take a zone, a class of requests or a tenant at random where none is given need nothing else.
EXTRA = {"config_storm": {"for_s": 3.0, "gap_s": 0.2}, "big_config": {"count": 200}, "revoke": {"count": 2, "gap_s": 0.5}}


def kinds(text):
    """The names at the beginnings of lines, as far as they are kinds."""
    return [match[1] for match in re.finditer(r"^([a-z_]+): ", text, re.MULTILINE) if match[1] not in ("for_s", "share", "zone", "on")]


def entry(kind, how, at, rng):
    fields = {"at": round(at, 2), "kind": kind, "how": how, **EXTRA.get(kind, {})}
    if kind not in PLANNED:
        fields.setdefault("for_s", round(rng.uniform(2.5, 6.0), 1))
    return fields


def toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[\n" + "".join(f"  {toml(item)},\n" for item in value) + "]"
    return repr(value)


def day(base, name, troubles, seed):
    fields = {key: value for key, value in base.items() if key not in ("plan", "faults", "closing", "labels")}
    fields |= {"name": name, "seed": seed, "plan": [], "faults": []}
    for trouble in troubles:
        fields["plan" if trouble["kind"] in PLANNED else "faults"].append(trouble)
    return "".join(f"{key} = {toml(value)}\n" for key, value in fields.items())


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("site")
    parser.add_argument("out", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mixes", type=int, default=10)
    arguments = parser.parse_args()
    site = tomllib.loads(pathlib.Path(arguments.site).read_text())
    bases = [one for one in site["day"] if one["slot"] == "scale"] or site["day"]
    rng = random.Random(arguments.seed)
    arguments.out.mkdir(parents=True, exist_ok=True)
    known = [(kind, how) for kind in kinds(sys.stdin.read()) for how in HOWS.get(kind, [""])]
    days = {}
    for kind, how in known:
        name = f"{kind}-{how.replace(' ', '-')}".strip("-")
        days[name] = [entry(kind, how, at, rng) for at in (rng.uniform(2, 8), rng.uniform(16, 22))]
    for number in range(arguments.mixes):
        chosen = rng.sample(known, rng.choice((2, 3)))
        days[f"mix-{number}"] = [entry(kind, how, rng.uniform(4, 14), rng) for kind, how in chosen]
    for name, troubles in days.items():
        text = day(rng.choice(bases), name, troubles, rng.randrange(1 << 30))
        (arguments.out / f"{name}.toml").write_text(text)
    print(f"{len(days)} days in {arguments.out}")


if __name__ == "__main__":
    main()
