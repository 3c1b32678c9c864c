"""Runs the requests of scripts/demo and checks the answers against data of the targets."""

import re
import sys
import time

from fleet import DATA_CENTRES, Fleet, FleetError, call


def target_addresses(fleet, service):
    """Returns the addresses of the targets of each group of a service."""
    groups = {}
    group = None
    for line in fleet.document.splitlines():
        header = re.match(r"\[group ([\w-]+)/(\d+)\]", line)
        if header:
            group = int(header[2]) if header[1] == service else None
        elif line.startswith("["):
            group = None
        elif group is not None and line.startswith("target."):
            groups.setdefault(group, []).append(line.split("=")[1].split()[0])
    return groups


def expected_records(fleet, service, query, limit):
    """Returns the expected records and the duplicate count, from one replica of each group."""
    found = {}
    stored = 0
    for group, addresses in target_addresses(fleet, service).items():
        status, answer = call(addresses[0], "POST", "/search", {
            "attempt": f"demo-{group}", "service": service, "group": group,
            "snapshot": {"index": 1, "map": 1}, "query": query, "limit": limit,
            "deadline_us": int((time.time() + 2) * 1e6)})
        if status != 200:
            raise FleetError(f"target {addresses[0]}: {status} {answer}")
        stored += len(answer["records"])
        for record in answer["records"]:
            found.setdefault(record["id"], record)
    ordered = sorted(found.values(), key=lambda record: (-record["rank"], record["id"]))
    return ordered[:limit], stored - len(found)


def show_answer(title, answer):
    coverage = answer["coverage"]
    print(f"\n{title}")
    print(f"  outcome {answer['outcome']}, snapshot index {answer['snapshot']['index']} "
          f"map {answer['snapshot']['map']}, groups {coverage['groups_answered']} of "
          f"{coverage['groups_total']}, {coverage['records']} records found")
    omitted_fields = {"id", "rank", "as_of", "kind"}
    for record in answer["records"]:
        fields = ", ".join(f"{key} {value}" for key, value in record.items()
                           if key not in omitted_fields)
        print(f"  {record['id']}: {fields}")


def check(what, passed):
    print(f"  {'ok  ' if passed else 'FAIL'} {what}")
    return passed


def check_search(fleet, title, host, caller, service, query, limit):
    status, answer = fleet.search(host, caller, service, query, limit=limit)
    if status != 200:
        print(title, status, answer)
        return False
    show_answer(title, answer)
    expected, duplicates = expected_records(fleet, service, query, limit)
    results = [
        check("all groups answered", answer["outcome"] == "complete"
              and not answer["missing"]),
        check("the records are those that the targets hold, in order",
              answer["records"] == expected and len(expected) > 0),
        check("all records are of one snapshot",
              all(r["as_of"] == answer["snapshot"]["index"] for r in answer["records"])),
    ]
    if duplicates:
        print(f"       ({duplicates} copies of the same award were removed)")
    return all(results)


def count_runs(fleet, key):
    """Returns how often a booking was executed according to the target journals."""
    runs = 0
    for addresses in target_addresses(fleet, "roster").values():
        for address in addresses:
            journal = call(address, "GET", "/journal")[1]
            runs += sum(1 for entry in journal["entries"] if entry["booking_key"] == key)
    return runs


def check_booking(fleet):
    booking = {"key": "walk-2026-12-05-0830", "dog": "Buna", "walker": "Selam",
               "starts": "2026-12-05 08:30", "gate": "the left one sticks"}
    ticket = fleet.ticket("h1", "roster-planner")[1]["ticket"]
    first = fleet.book("h1", "roster-planner", "roster", ticket, booking)[1]
    again = fleet.book("h3", "roster-planner", "roster", ticket, booking)[1]
    print("\nBooking of a walk, sent through h1 and once more through h3")
    print(f"  h1: {first}\n  h3: {again}")
    return all([
        check("it is done", first["outcome"] == "done"),
        check("the second send gets the same result", again == first),
        check("the targets ran it once", count_runs(fleet, booking["key"]) == 1),
    ])


def main():
    with Fleet(hosts=4) as fleet:
        print(f"Starting {fleet.target_count()} targets in {len(DATA_CENTRES)} data centres "
              f"and 4 entry hosts on {fleet.prefix}.0/24 ...")
        fleet.start()
        fleet.wait_ready()
        results = [
            check_search(fleet, "Levy lookup in a hearing: canterbury 2026", "h1",
                            "clerk-desk", "hearing-desk", "canterbury 2026", 3),
            check_search(fleet, "Grant search: library", "h2", "member-portal-web",
                            "member-portal", "library", 5),
            check_search(fleet, "Dog lookup at a gate: gate", "h3", "walker-phone",
                            "walker-app", "gate", 3),
            check_booking(fleet),
        ]
    print("\nall answers are right" if all(results) else "\nsome answers are wrong")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
