"""A real gateway beside an evacuated zone and cold upstreams."""
import asyncio
import time
import unittest

from gateway_site import TIMEOUT_MS, Site, route
from scripted_upstream import answer, later, refuse

# By the users' rules an evacuation must be in force within this time.
EVACUATE_SECONDS = 5
COLD_PER_SECOND = 4
COLD_SECONDS = 3
BOUNDS = {"coldOver": 1.5, "coldSlack": 2}
# Requests that a cold upstream may get in any second.
COLD_LIMIT = COLD_PER_SECOND * 1.5 + 2
# Callers' requests a second.
PRESSURE = 40


def most_in_a_second(arrivals):
    times = [arrival.at for arrival in arrivals]
    return max((sum(begin <= at < begin + 1 for at in times) for begin in times), default=0)


async def press(site, seconds, name="call"):
    """Sends PRESSURE requests a second and returns their answers."""

    async def call():
        caller = site.caller()
        try:
            return await caller.call(f"/{name}/", TIMEOUT_MS)
        finally:
            caller.close()

    calls = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        calls.append(asyncio.ensure_future(call()))
        await asyncio.sleep(1 / PRESSURE)
    return await asyncio.gather(*calls)


class Evacuation(unittest.TestCase):
    def setUp(self):
        self.site = Site([route("call", "safe", "call")], bounds=BOUNDS,
                         service_fields={"coldPerS": COLD_PER_SECOND, "coldS": COLD_SECONDS})
        self.addCleanup(self.site.close)
        self.away, self.home = self.site.run(self.start_upstreams())

    async def start_upstreams(self):
        away = await self.site.start_upstream("away", "call", answer(), is_entered=False)
        await self.site.enter("away", "call", away.address, zone="other")
        home = await self.site.start_upstream("home", "call", answer())
        await self.site.settle()
        return away, home

    def statuses(self, answers):
        return sorted({answer_.status for answer_ in answers}, key=str)

    def test_evacuated_zone_gets_nothing_until_it_is_taken_back_and_then_little_at_first(self):
        async def play():
            await press(self.site, 0.5)
            await self.site.platform.store.put("op/evacuate/other", "{}")
            written_at = time.monotonic()
            answers = await press(self.site, EVACUATE_SECONDS + 1)
            late = [a for a in self.away.arrivals if a.at > written_at + EVACUATE_SECONDS]
            count = len(self.away.arrivals)
            # The only upstream elsewhere refuses: nothing is repeated in the evacuated zone.
            self.home.script = refuse
            refused = await press(self.site, 0.3)
            repeated = len(self.away.arrivals) - count
            self.home.script = later(0.05, answer())
            await self.site.platform.store.remove("op/evacuate/other")
            restored = await press(self.site, COLD_SECONDS + 2)
            return answers, late, refused, repeated, restored, self.away.arrivals[count:]

        answers, late, refused, repeated, restored, after = self.site.run(play())
        self.assertEqual((self.statuses(answers), late), ([200], []))
        self.assertEqual((self.statuses(refused), repeated), ([503], 0))
        self.assertEqual(self.statuses(restored), [200])
        begin = after[0].at
        early = [arrival for arrival in after if arrival.at < begin + COLD_SECONDS - 1]
        self.assertLessEqual(most_in_a_second(early), COLD_LIMIT)
        self.assertGreater(len(after), len(early))

    def test_every_zone_evacuated_is_refused_at_once(self):
        async def play():
            for zone in ("other", "z", "no-such-zone"):
                await self.site.platform.store.put(f"op/evacuate/{zone}", "{}")
            await asyncio.sleep(1)
            count = len(self.away.arrivals) + len(self.home.arrivals)
            answers = await press(self.site, 0.3)
            return answers, len(self.away.arrivals) + len(self.home.arrivals) - count

        answers, arrived = self.site.run(play())
        self.assertEqual((self.statuses(answers), arrived), ([503], 0))
        self.assertLess(max(answer_.ended_after for answer_ in answers), 0.5)

    def test_cold_upstream_gets_its_rate_also_if_the_gateway_is_killed_meanwhile(self):
        async def play():
            self.home.script = later(1, answer())  # The warm one is full.
            await self.site.enter("away", "call", self.away.address, zone="other", cold_left_ms=1000 * COLD_SECONDS)
            await asyncio.sleep(0.2)
            self.away.arrivals.clear()
            return await press(self.site, 1.5)

        before = self.site.run(play())
        self.assertEqual(self.statuses(before), [200, 503])
        self.site.process.kill()
        self.site.process.wait()
        self.site.platform.start_gateway(2, 1000, bounds=BOUNDS)
        self.site.run(press(self.site, 1))
        self.assertGreater(len(self.away.arrivals), 0)
        self.assertLessEqual(most_in_a_second(self.away.arrivals), COLD_LIMIT)


if __name__ == "__main__":
    unittest.main()
