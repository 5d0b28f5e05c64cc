"""Values with units, in the syntax of the configuration."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from datetime import timedelta
from decimal import Decimal

_UNIT_MICROSECONDS = [("d", 86_400_000_000), ("h", 3_600_000_000), ("m", 60_000_000)]
_UNIT_MICROSECONDS += [("s", 1_000_000), ("ms", 1_000), ("us", 1)]
_UNIT_BYTES = [("TiB", 1 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)]


@dataclass(frozen=True)
class Rate:
    """A rate limit, as a count per minute."""

    per_minute: int

    @staticmethod
    def per_second(count: int) -> Rate:
        """Returns the rate of `count` per second."""
        return Rate(count * 60)

    def __str__(self) -> str:
        if self.per_minute % 60 == 0:
            return f"{self.per_minute // 60}/s"
        return f"{self.per_minute}/min"


def mib(count: int) -> int:
    """Returns `count` MiB in bytes."""
    return count << 20


def gib(count: int) -> int:
    """Returns `count` GiB in bytes."""
    return count << 30


def hash_key(key: str) -> str:
    """Returns the SHA-256 hash of a caller's key for `key_hash`; the key itself is not kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def duration_text(time: timedelta) -> str:
    """Returns a duration in the syntax of the configuration."""
    remainder = round(time / timedelta(microseconds=1))
    parts = []
    for unit, size in _UNIT_MICROSECONDS:
        count, remainder = divmod(remainder, size)
        if count:
            parts.append(f"{count}{unit}")
    return " ".join(parts) or "0s"


def size_text(size: int) -> str:
    """Returns a size in bytes in the syntax of the configuration."""
    for unit, unit_size in _UNIT_BYTES:
        if size and size % unit_size == 0:
            return f"{size // unit_size}{unit}"
    return f"{size}B"


def price_text(price: Decimal) -> str:
    """Returns an hourly price in the syntax of the configuration."""
    return f"{price:.3f}/h"
