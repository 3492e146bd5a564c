#!/usr/bin/env python3
"""Tells for which reasons credit was lost on a day.

loss-ledger.py SITE LOG REPORT

SITE is a site file, LOG the output of a run of all daemons (`--log all`), REPORT
its report. Prints for online requests and for batch items the credit owed, the
credit lost and the reasons, with the requests or items and their share of the
credit owed. The last reason of each kind is what the daemons' logs do not show,
so that the reasons add up to the credit lost. A reason marked * could not be
avoided by the daemons: nothing ran, or nothing could be accepted for good.
"""
import collections
import json
import re
import sys
import tomllib

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
# An online request that is cut with its daemon ran for up to a second.
LONGEST_STREAM_S = 1.0
# A client that waits for an answer leaves after this long at the earliest.
LEAST_SILENCE_S = 1.9


def read_events(path):
    """Returns the daemons' log lines by event, each with its time in seconds."""
    events = collections.defaultdict(list)
    with open(path, errors="replace") as lines:
        for line in lines:
            if not (match := LINE.match(line)):
                continue
            try:
                fields = json.loads(match[3])
            except ValueError:
                continue
            events[fields["event"]].append((float(match[1]), fields))
    return events


def outages(events, report):
    """Returns the spans in which all daemons were down."""
    spans = []
    for fault in report["events"]:
        if not fault["kind"].startswith("closing"):
            continue
        starts = [at for at, _ in events["started"] if at > fault["at_s"]]
        if starts:
            spans.append((fault["at_s"], max(starts)))
    return spans


def online_reasons(events, report, goal_s):
    """Counts the online requests that were not in time, by reason."""
    down = outages(events, report)
    reasons = collections.Counter()
    for ended, it in events["request"]:
        arrived = ended - it["whole_us"] / 1e6
        waited = it.get("waited_us", 0) / 1e6
        first = it["first_us"] / 1e6
        if it["time_left_us"] < 1.1e6:
            continue  # asks which configuration is in force
        if it["end"] in ("refused", "held"):
            continue  # counts with the client's next attempt
        if it["end"] == "client_gone" and it["whole_us"] < LEAST_SILENCE_S * 1e6:
            continue  # left early, which is not owed
        if it["end"] == "answered" and 0 <= first and waited + first <= goal_s:
            continue
        sent = arrived - waited
        in_outage = any(a - LONGEST_STREAM_S <= sent <= b for a, b in down)
        if it["end"] != "answered":
            reasons[f"not answered: {it['end']}"] += 1
        elif waited > goal_s and in_outage:
            reasons["* sent while no daemon ran"] += 1
        elif waited > goal_s:
            reasons["sent again after a refusal or a lost daemon"] += 1
        elif it.get("held_us", 0) > 0:
            reasons["held for new requests"] += 1
        else:
            reasons[f"waited at the target: {it['placed']}"] += 1
    return reasons


def batch_reasons(events, goal_s, due_s):
    """Counts the items of accepted jobs that were not in time, by reason."""
    sent, accepted, owner_lost = {}, {}, set()
    for at, it in events["job_not_kept_here"]:
        sent[it["job"]] = min(sent.get(it["job"], at), at)
    for at, it in events["job_submitted"]:
        job, began = it["job"], at - it["took_us"] / 1e6
        sent[job] = min(sent.get(job, began), began)
        if it["end"] == "accepted":
            accepted[job] = (at, it["items"])
    for _, it in events["job_taken_over"]:
        owner_lost.add(it["job"])
    ended = {it["job"] for _, it in events["job_ended"]}
    listed = collections.defaultdict(list)
    for at, it in events["results_listed"]:
        listed[it["job"]] += [at] * (it["to"] - it["from"])
    reasons = collections.Counter()
    for job, (at, items) in accepted.items():
        if job in ended:
            continue
        if at - sent[job] > goal_s:
            reasons["* accepted late: the store was away"] += items
            continue
        late = sum(1 for done in listed[job] if done - sent[job] > due_s)
        late += items - len(listed[job])
        if late and job in owner_lost:
            reasons["waited for a new owner or for slots after it"] += late
        elif late:
            reasons["waited for slots"] += late
    return reasons


def show(name, classes, prices, reasons):
    owed = sum((it["n"] - it["not_owed"]) * prices[it["name"]][0] for it in classes)
    lost = sum(
        (it["n"] - it["not_owed"]) * (1 - it["worth"]) * prices[it["name"]][0]
        for it in classes if it["worth"] is not None)
    missed = sum(it["late"] + it["failed"] + it["refused"] for it in classes)
    print(f"{name}: {missed} not in time; lost {lost:.0f} of {owed:.0f}, "
          f"{lost / owed:.3f}")
    reasons = +reasons
    reasons["not in the logs: cut with a daemon, or never accepted"] = (
        missed - sum(reasons.values()))
    for reason, n in reasons.most_common():
        print(f"  {n:6d}  {lost * n / max(missed, 1) / owed:7.4f}  {reason}")


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    with open(sys.argv[1], "rb") as file:
        classes = tomllib.load(file)["classes"]
    with open(sys.argv[3]) as file:
        report = json.load(file)
    events = read_events(sys.argv[2])
    prices = {it["name"]: (it["worth"], it["late_worth"]) for it in classes}
    batch = next(it for it in classes if it["kind"] == "batch")
    online = [it for it in classes if it["kind"] != "batch"]
    seen = {it["name"]: it for it in report["classes"]}
    goal_s = online[0]["aim_ms"] / 1e3
    show("online", [seen[it["name"]] for it in online if it["name"] in seen], prices,
         online_reasons(events, report, goal_s))
    show("batch", [seen[batch["name"]]], prices,
         batch_reasons(events, batch["aim_ms"] / 1e3, batch["lot"]["run_aim_ms"] / 1e3))


if __name__ == "__main__":
    main()
