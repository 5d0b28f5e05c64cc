"""Problems are reported with the line of the operator's program."""

import subprocess
import sys
import tempfile
import unittest
from datetime import timedelta
from decimal import Decimal
from pathlib import Path

from bulrushhall import (
    Class,
    Deployment,
    DeploymentError,
    Model,
    Rollout,
    Service,
    Team,
    VmClass,
    Weights,
    Zone,
)

ROOT = Path(__file__).resolve().parent.parent

PROGRAM = """\
from bulrushhall import Deployment, Model, Service, Team
deployment = Deployment()
deployment.add(Service("pattern-desk"))
deployment.add(
    Model("motif-7b", service="patern-desk"),
    Team("work shop"),
)
deployment.print()
"""


def problems_of(*sections):
    deployment = Deployment()
    deployment.add(*sections)
    try:
        deployment.render()
    except DeploymentError as error:
        return error.problems
    return []


class ProblemTests(unittest.TestCase):
    def test_program_line(self):
        with tempfile.TemporaryDirectory() as directory:
            program = Path(directory) / "guild.py"
            program.write_text(PROGRAM, encoding="utf-8")
            result = subprocess.run(
                [sys.executable, str(program)],
                env={"PYTHONPATH": str(ROOT)},
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
        lines = result.stderr.splitlines()
        self.assertEqual(result.returncode, 3, result.stderr)
        self.assertEqual(result.stdout, "")
        self.assertEqual(len(lines), 2, result.stderr)
        self.assertIn("guild.py:5: model motif-7b names the service patern-desk", lines[0])
        self.assertIn("did you mean pattern-desk?", lines[0])
        self.assertIn("guild.py:6: malformed name", lines[1])

    def test_each_problem(self):
        service = Service("desk")
        cases = [
            ([Team("a"), Team("a")], "is defined twice"),
            ([Team("a", share=0)], "share is 0"),
            ([Team("a", key_hash="abc")], "no SHA-256 hash"),
            ([Team("")], "malformed name"),
            ([Class("a", deadline=timedelta(0))], "not positive"),
            (
                [Class("a", first_token=timedelta(seconds=9), deadline=timedelta(seconds=1))],
                "before the first token",
            ),
            ([Service("a", non_repeatable=["orders"])], "does not start with /"),
            ([VmClass("a", reclaimable_price=Decimal("0.0001"))], "0.0001"),
            ([VmClass("a", zones=["nowhere"], reclaimable_price=Decimal(1))], "missing"),
            ([Weights(cost=-1)], "cost is -1"),
            ([service, Model("m", service="desk", version="1\n[team x]")], "line break"),
            ([service, Model("m", service="desk"), Rollout("r", model="m", version="v")], "missing"),
        ]
        for sections, message in cases:
            with self.subTest(message=message):
                found = problems_of(*sections)
                self.assertEqual(len(found), 1, found)
                self.assertIn(message, str(found[0]))
                self.assertIsNotNone(found[0].hint)
                self.assertEqual(found[0].place.file, __file__)

    def test_no_problem(self):
        self.assertEqual(problems_of(Zone("suva-a"), Service("desk"), Model("m", service="desk")), [])


if __name__ == "__main__":
    unittest.main()
