"""Checks the pages for users and the samples against the programs.

PERIDOTFORK_BUILD names the directory of the programs; the default is `build` in
the repository root.
"""

import json
import os
import re
import subprocess
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("PERIDOTFORK_BUILD", os.path.join(ROOT, "build"))
ROLES = ["agent", "dispatcher", "entry", "gateway"]
KEY_LINE = re.compile(r"^  \[(\w+)\] (\w+) (?:= (.*)|(\(required\)))$")


def run(role, *arguments):
    program = os.path.join(BUILD, f"peridotfork-{role}")
    return subprocess.run([program, *arguments], capture_output=True, text=True, timeout=30,
                          check=False)


def read(*path):
    with open(os.path.join(ROOT, *path), encoding="utf-8") as file:
        return file.read()


def listed_keys(role):
    """Returns the keys that --help lists: (section, key) -> default, or "required"."""
    help_text = run(role, "--help").stdout
    settings = help_text.partition("Settings:\n")[2].partition("\nSIGTERM")[0]
    keys = {}
    for line in settings.splitlines():
        if line.startswith("  ["):
            match = KEY_LINE.match(line)
            if match is None:
                raise AssertionError(f"{role}: --help has a line of unknown format: {line}")
            keys[match[1], match[2]] = match[3] if match[4] is None else "required"
    return keys


def documented_keys():
    """Returns the rows of docs/settings.md: role -> (section, key) -> default."""
    keys = {role: {} for role in ROLES}
    roles = []
    for line in read("docs", "settings.md").splitlines():
        if line.startswith("#"):
            words = line.lower()
            roles = ROLES if "every program" in words else [
                role for role in ROLES if f"peridotfork-{role}" in words]
        row = re.match(r"^\| `\[(\w+)\] (\w+)` \| [^|]* \| ([^|]*) \|", line)
        if row:
            for role in roles:
                keys[role][row[1], row[2]] = row[3].strip().strip("`")
    return keys


class SettingsPage(unittest.TestCase):
    # Guards against a key or default that changes in the code only, and against
    # documentation of keys that were removed.
    def test_lists_the_keys_and_defaults_of_each_program(self):
        documented = documented_keys()
        for role in ROLES:
            with self.subTest(program=role):
                listed = listed_keys(role)
                self.assertGreaterEqual(len(listed), 8)
                self.assertEqual(documented[role], listed)

    # Guards against documented exit codes that the programs do not return.
    def test_names_the_exit_code_of_faulty_settings(self):
        self.assertIn("| 2 |", read("docs", "settings.md"))
        for role in ROLES:
            with self.subTest(program=role):
                self.assertEqual(run(role).returncode, 2)
                self.assertEqual(run(role, "--config", "/nonexistent", "--check").returncode, 2)


class Samples(unittest.TestCase):
    # Guards against samples that the programs no longer accept.
    def test_settings_files_pass_the_check(self):
        for role in ROLES:
            with self.subTest(program=role):
                path = os.path.join(ROOT, "samples", f"{role}.ini")
                checked = run(role, "--config", path, "--check")
                self.assertEqual((checked.returncode, checked.stderr), (0, ""))
                self.assertTrue(checked.stdout.endswith(": ok\n"), checked.stdout)

    # Guards against a check that accepts every file.
    def test_check_refuses_the_settings_of_another_program(self):
        path = os.path.join(ROOT, "samples", "agent.ini")
        self.assertEqual(run("entry", "--config", path, "--check").returncode, 2)

    # Guards against inconsistent samples, which would make the calls in
    # samples/README.md fail.
    def test_requests_and_hosts_fit_the_document_and_the_settings(self):
        document = read("samples", "document.ini")
        for name in ["search.json", "booking.json"]:
            request = json.loads(read("samples", name))
            self.assertIn(f"[caller {request['caller']}]", document)
            self.assertIn(f"[service {request['service']}]", document)
        agent = read("samples", "agent.ini")
        for host in json.loads(read("samples", "hosts.json"))["hosts"]:
            self.assertIn(f"id = {host['id']}\n", agent)
            self.assertIn(f"address = {host['agent']}\n", agent)

    # Guards against links to files that do not exist.
    def test_links_between_the_pages_name_files(self):
        for page in ["callers", "operators", "configuration", "settings", "glossary",
                     "platform", "OPERATIONS"]:
            for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", read("docs", f"{page}.md")):
                path = os.path.join(ROOT, "docs", link)
                self.assertTrue(os.path.exists(path), f"docs/{page}.md names {link}")


if __name__ == "__main__":
    unittest.main()
