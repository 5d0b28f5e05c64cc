"""What is wrong in a deployment and where in the operator's program it was written."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

_PACKAGE = Path(__file__).resolve().parent


@dataclass(frozen=True)
class Place:
    """A line of the operator's program."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True)
class Problem:
    """Something that is wrong in a deployment."""

    place: Place
    message: str
    hint: str | None = None

    def __str__(self) -> str:
        text = f"{self.place}: {self.message}"
        return text if self.hint is None else f"{text} (hint: {self.hint})"


class DeploymentError(Exception):
    """Raised for a deployment with problems; holds all of them, in the order of their lines."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def caller_place() -> Place:
    """Returns the line of the nearest caller outside of this package."""
    frame = sys._getframe(1)
    while frame.f_back is not None and _is_ours(frame.f_code.co_filename):
        frame = frame.f_back
    return Place(frame.f_code.co_filename, frame.f_lineno)


def _is_ours(file: str) -> bool:
    # The constructors of data classes are generated and have no file of their own.
    return file.startswith("<") or Path(file).resolve().parent == _PACKAGE
