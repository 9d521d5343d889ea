"""A real gateway beside upstreams that pause, refuse, break off and are killed, to its stop.

BERGAMOTPADDLE_SOAK_SEEDS gives the seeds to play as FIRST:COUNT.
"""
import asyncio
import collections
import os
import random
import signal
import time
import unittest

from gateway_site import GRACE_SECONDS, TIMEOUT_MS, Site, route
from scripted_upstream import Caller, answer, break_off, cut, event, fail, later, refuse, sound, stream

FIRST_SEED, SEED_COUNT = map(int, os.environ.get("BERGAMOTPADDLE_SOAK_SEEDS", "1:2").split(":"))
SEEDS_AT_ONCE = 2
TRAFFIC_SECONDS = 12
# Callers begin no request later than this after SIGTERM; what they began by then ends well within the grace.
TRAFFIC_IN_STOP_SECONDS = 2.3
CALLER_COUNT = 12
UPSTREAMS_PER_SERVICE = 3
SERVICES = ("service-0", "service-1")
MAX_PAUSE_SECONDS = 1.8
EVENT_COUNT = 5
WHOLE_STREAM = list(range(1, EVENT_COUNT + 1))
GAP_AIM_MS = 350
# Callers abandon a stream after a gap of eight times the aim.
STREAM_PATIENCE_SECONDS = 8 * GAP_AIM_MS / 1000
# A final answer is due half a second after the time limit.
CALL_PATIENCE_SECONDS = TIMEOUT_MS / 1000 + 0.5


class Soak:
    """One seed: a gateway, upstreams with random behaviour, callers, and disruptions."""

    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        self.site = Site([
            {**route("stream", "streaming", SERVICES[0], 3), "gapAimMs": GAP_AIM_MS},
            route("call", "safe", SERVICES[0], 3),
            route("once", "unsafe", SERVICES[0], 2),
        ], {"graceS": GRACE_SECONDS})
        self.alive = []
        self.number = 0
        self.calls = []
        self.stopped_at = None
        self.ended_at = None
        self.counts = collections.Counter()

    def pause(self):
        return self.random.uniform(0.2, MAX_PAUSE_SECONDS)

    async def behave(self, exchange):
        """Plays a random behaviour."""
        is_stream = "/stream/" in exchange.arrival.line
        whole = {"stream": stream(EVENT_COUNT, {self.random.randint(1, EVENT_COUNT): self.pause()}),
                 "quick stream": stream(EVENT_COUNT), "answer": answer(self.pause()), "quick answer": answer(0.02)}
        names = ["stream", "quick stream"] if is_stream else ["answer", "quick answer"]
        script = sound(whole[self.random.choice(names)])
        if is_stream and self.random.random() < 0.2:
            script = sound(later(self.pause(), stream(EVENT_COUNT)))
        broken = [break_off, cut(b"HTTP/1.1 200 OK\r\n"), later(self.pause(), break_off)]
        if is_stream:
            broken += [stream(EVENT_COUNT, end={number: break_off}) for number in (1, 3)]
            broken += [stream(EVENT_COUNT, end={2: cut(event(3)[:5])})]
        chance = self.random.random()
        if chance < 0.15:
            script = refuse
        elif chance < 0.22:
            script = self.random.choice(broken)
        elif chance < 0.27:
            script = fail
        await script(exchange)

    async def add_upstream(self, service):
        self.number += 1
        self.alive.append(await self.site.start_upstream(f"u{self.number}", service, self.behave))

    async def call_until_end(self):
        """Sends requests one after another, over the same connection while the gateway keeps it open."""
        caller = Caller(self.site.ip, self.site.platform.caller_port, 0)
        while not self.stopped_at or time.monotonic() < self.stopped_at + TRAFFIC_IN_STOP_SECONDS:
            kind = self.random.choice(("stream", "call", "once"))
            caller.patience = STREAM_PATIENCE_SECONDS if kind == "stream" else CALL_PATIENCE_SECONDS
            answer_ = await caller.call(f"/{kind}/", TIMEOUT_MS)
            self.calls.append((kind, answer_))
            await asyncio.sleep(self.random.uniform(0, 0.3) + (0.3 if answer_.status == 503 else 0))
        caller.close()

    async def move_routes(self):
        service = self.random.choice(SERVICES)
        self.site.routes = [{**route_, "service": service} if route_["name"] in ("stream", "call", "once") else route_
                            for route_ in self.site.routes]
        await self.site.configure()

    async def replace_upstream(self):
        killed = self.alive.pop(self.random.randrange(len(self.alive)))
        killed.kill()
        await asyncio.sleep(self.random.uniform(0.1, 0.6))
        await self.site.enter(killed.id, killed.service, killed.address, "draining")
        await self.add_upstream(killed.service)

    async def disrupt(self):
        until = time.monotonic() + TRAFFIC_SECONDS
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.2, 1))
            action = self.random.choice(("move", "replace", "add", "sighup"))
            self.counts[action] += 1
            if action == "move":
                await self.move_routes()
            elif action == "replace":
                await self.replace_upstream()
            elif action == "add":
                await self.add_upstream(self.random.choice(SERVICES))
            else:
                self.site.process.send_signal(signal.SIGHUP)
        self.site.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()

    async def play(self):
        for service in SERVICES:
            for _ in range(UPSTREAMS_PER_SERVICE):
                await self.add_upstream(service)
        await self.site.settle()
        await asyncio.gather(self.disrupt(), *(self.call_until_end() for _ in range(CALLER_COUNT)))
        while self.site.process.poll() is None and time.monotonic() < self.stopped_at + GRACE_SECONDS:
            await asyncio.sleep(0.05)
        self.ended_at = time.monotonic()

    def problem(self, kind, answer_):
        """Returns what is wrong with an answer, or None."""
        arrivals = self.site.arrivals_of(answer_)
        runs = [arrival for _, arrival in arrivals if arrival.has_run]
        has_sound = any(arrival.is_sound for arrival in runs)
        ended_at = answer_.began_at + answer_.ended_after
        is_stopping = self.stopped_at <= ended_at
        if kind == "once" and len(runs) > 1:
            return "ran more than once"
        if kind == "once" and answer_.status == 503 and runs:
            return "promised not to have run, but ran"
        if answer_.was_refused:
            return None if is_stopping else "connection refused"
        ids = answer_.event_ids if kind == "stream" else []
        if ids != WHOLE_STREAM[:len(ids)]:
            return "an event is missing or comes twice"
        if answer_.is_complete and answer_.status == 200:
            if answer_.fields.get("bergamotpaddle-response-seal") not in [f"seal-{u.id}-200" for u, _ in arrivals]:
                return "signature of no upstream that got the request"
            return None if kind != "stream" or ids == WHOLE_STREAM else "the stream ends as complete too early"
        if any(arrival.is_broken_off for arrival in runs):
            # The pause of a sound upstream that came second may outlast the patience of a stream's caller.
            has_left = kind == "stream" and answer_.has_given_up
            return None if answer_.is_complete or answer_.status == 200 or has_left else "no answer"
        if answer_.is_complete:
            is_end_near = ended_at > self.stopped_at + GRACE_SECONDS * 5 / 6
            return "answer of a sound upstream lost" if has_sound and not is_end_near else None
        if not arrivals and is_stopping and answer_.is_on_kept_connection:
            return None  # Crossed the close of the connection and was not passed on.
        return "no whole answer"

    def describe(self, kind, answer_):
        began_at = answer_.began_at
        lines = [f"seed {self.seed}: {kind} {answer_.attempt_id}: {self.problem(kind, answer_)}: {answer_}; "
                 f"began {began_at - self.stopped_at:+.2f} s from the stop"]
        for upstream, arrival in self.site.arrivals_of(answer_):
            state = [name for name in ("is_sound", "has_run", "is_broken_off", "is_finished") if getattr(arrival, name)]
            lines.append(f"  {upstream.id} ({upstream.service}) from {arrival.at - began_at:.2f} s, response "
                         f"{(arrival.response_at or began_at) - began_at:.2f} s, "
                         f"end {arrival.ended_at - began_at:.2f} s "
                         f"{state}")
        return "\n".join(lines)


class UpstreamSoak(unittest.TestCase):
    def test_requests_beside_random_disruptions(self):
        seeds = list(range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
        for first in range(0, len(seeds), SEEDS_AT_ONCE):
            soaks = [Soak(seed) for seed in seeds[first:first + SEEDS_AT_ONCE]]
            for soak in soaks:
                self.addCleanup(soak.site.close)
            plays = [asyncio.run_coroutine_threadsafe(soak.play(), soak.site.platform.loop) for soak in soaks]
            for soak, play in zip(soaks, plays):
                play.result(TRAFFIC_SECONDS + GRACE_SECONDS + 30)
                problems = [soak.describe(*call) for call in soak.calls if soak.problem(*call)]
                print(f"seed {soak.seed}: {len(soak.calls)} requests, {dict(soak.counts)}, "
                      f"{len(problems)} of them lost or wrong", *problems, sep="\n", flush=True)
                with self.subTest(seed=soak.seed):
                    self.assertEqual(soak.site.process.poll(), 0)
                    self.assertLess(soak.ended_at - soak.stopped_at, GRACE_SECONDS)
                    self.assertEqual(problems, [])


if __name__ == "__main__":
    unittest.main()
