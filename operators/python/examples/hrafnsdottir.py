"""Hrafnsdóttir & Sons' deployment: the comment judges and the desk's own service."""

import argparse
from datetime import timedelta
from decimal import Decimal

from bulrushhall import (
    Class,
    Deployment,
    Engines,
    Model,
    Service,
    Team,
    Version,
    VmClass,
    Weights,
    Zone,
    backends_from,
    gib,
)

REGION = "sudvestur"
ZONES = ["reykjavik-a", "reykjavik-b", "hafnarfjordur", "keflavik"]


def hrafnsdottir(backends: dict[str, list[str]]) -> Deployment:
    """Returns the deployment, with backend servers at fixed addresses where some are given."""
    deployment = Deployment()
    deployment.add(*(Zone(name, region=REGION) for name in ZONES))
    deployment.add(
        VmClass("accelerated", accelerators=8, reclaimable_price=Decimal("1.10")),
        VmClass("accelerated-small", accelerators=4, on_demand_price=Decimal("1.80")),
        Service("judge-pool", backends=backends.get("judge-pool")),
        Engines(
            "judge-pool", least=12, most=24, vm_classes=["accelerated", "accelerated-small"]
        ),
        Model("verdict-9b", service="judge-pool", version="verdict-9b-1", max_tokens=2048),
        Version("verdict-9b-1", model="verdict-9b", weights="verdict-9b/1", size=gib(18)),
        # Removals and bans run at most once; status lookups are idempotent.
        Service(
            "desk-api",
            service_type="plain",
            backends=backends.get("desk-api"),
            non_repeatable=["/removals", "/bans"],
            fencing="checked",
            timeout=timedelta(seconds=3),
        ),
    )
    deployment.add(
        # Quick checks of comments below live articles.
        Class("check", priority=0, first_token=timedelta(seconds=1.9)),
        Class("appeal", priority=3, deadline=timedelta(minutes=10)),
        # Long thread reviews.
        Class(
            "review",
            priority=5,
            first_token=timedelta(minutes=1),
            deadline=timedelta(minutes=15),
            patience=timedelta(minutes=4),
        ),
    )
    deployment.add(
        Team("national-desk", share=5),
        Team("sports-desk", share=4),
        Team("evening-paper", share=2),
        Team("regional-papers", share=2),
        Team("appeals", share=1),
        Weights(cost=1.0, recomputed=3.0),
    )
    return deployment


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--backends-from", metavar="FILE", help="output of `bulrush show --json`")
    args = parser.parse_args()
    hrafnsdottir(backends_from(args.backends_from) if args.backends_from else {}).print()
