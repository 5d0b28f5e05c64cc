"""Sections and values with units are rendered in the syntax of the configuration."""

import unittest
from datetime import timedelta
from decimal import Decimal

from bulrushhall import Class, Deployment, Rate, Service, Team, VmClass, gib, hash_key, mib
from bulrushhall.units import duration_text, price_text, size_text


class RenderingTests(unittest.TestCase):
    def test_durations(self):
        cases = {
            timedelta(seconds=1.9): "1s 900ms",
            timedelta(minutes=20): "20m",
            timedelta(days=1, microseconds=5): "1d 5us",
            timedelta(0): "0s",
        }
        for time, text in cases.items():
            self.assertEqual(duration_text(time), text)

    def test_sizes_and_prices(self):
        self.assertEqual(size_text(gib(14)), "14GiB")
        self.assertEqual(size_text(mib(3)), "3MiB")
        self.assertEqual(size_text(1025), "1025B")
        self.assertEqual(price_text(Decimal("0.35")), "0.350/h")

    def test_rates(self):
        self.assertEqual(str(Rate.per_second(50)), "50/s")
        self.assertEqual(str(Rate(per_minute=90)), "90/min")

    def test_sections(self):
        deployment = Deployment()
        deployment.add(
            Team("workshop", share=4, key_hash=hash_key("a key")),
            Class("urgent", priority=0),
            Service("ledger", service_type="plain", non_repeatable=["/orders", "/pigments"]),
            VmClass("large", on_demand_price=Decimal("2.7")),
        )
        text = deployment.render()
        self.assertIn("[service ledger]\ntype = plain\nnon_repeatable = /orders, /pigments\n", text)
        self.assertIn("[class urgent]\npriority = 0\n", text)
        self.assertIn("on_demand_price = 2.700/h\n", text)
        self.assertNotIn("a key", text)
        self.assertLess(text.index("[vm-class large]"), text.index("[service ledger]"))


if __name__ == "__main__":
    unittest.main()
