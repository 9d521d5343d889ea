"""A real gateway beside upstreams that pause, refuse or die, and in a stop: whole requests get whole answers."""
import asyncio
import signal
import time
import unittest

from gateway_site import CALLER_PATIENCE_SECONDS, GRACE_SECONDS, TIMEOUT_MS, Site, route
from scripted_upstream import answer, break_off, closed_port, cut, fail, later, refuse, stay_silent, stream

EVENT_COUNT = 5
# A sound upstream may fall silent for a second or so and go on.
STREAM_PAUSE_SECONDS = 1.5
CALL_SECONDS = 1.2
# A request that goes on at another upstream must not be at work at the one before for longer than this.
OVERLAP_SECONDS = 0.4
# How far the clocks of the two sides may differ on when a stop began: delivery of the signal and of a request.
SIGNAL_SECONDS = 0.1
STOP_TIMEOUT_MS = 15000
WHOLE_STREAM = list(range(1, EVENT_COUNT + 1))
PAUSING_STREAM = stream(EVENT_COUNT, {1: STREAM_PAUSE_SECONDS})
PAUSING_CALL = answer(CALL_SECONDS)
ABSENT = object()
# What another upstream does; None: its port is closed.
OTHERS = {
    "is not there": (ABSENT, ABSENT),
    "resumes": (stream(EVENT_COUNT), answer()),
    "refuses": (refuse, refuse),
    "breaks off": (break_off, break_off),
    "answers 500": (fail, fail),
    "has a closed port": (None, None),
    "stays silent": (stay_silent, stay_silent),
}


def pause_routes():
    names = [f"{kind}-{index}" for index in range(len(OTHERS)) for kind in ("stream", "call")]
    return [route(name, "streaming" if name.startswith("stream") else "safe", name) for name in names]


async def pause_beside_other(site, sound, other_script, other_after, patience):
    """Returns the answer of a request whose upstream pauses while another upstream appears in the list."""
    call = asyncio.ensure_future(site.caller(patience).call(f"/{sound.service}/", TIMEOUT_MS))
    await asyncio.wait_for(sound.arrived.wait(), CALLER_PATIENCE_SECONDS)
    await asyncio.sleep(other_after)
    other_id = f"other-{sound.service}"
    if other_script is ABSENT:
        return await call
    if other_script is None:
        with closed_port() as holder:
            await site.enter(other_id, sound.service, "127.0.0.1:%d" % holder.getsockname()[1])
            return await call
    await site.start_upstream(other_id, sound.service, other_script)
    return await call


async def all_pauses(site, patience):
    """Returns the answers to a stream and a call beside each of OTHERS, by the pair of kind and behaviour."""
    cases = {}
    for index, (behaviour, scripts) in enumerate(OTHERS.items()):
        for kind, script, other_script, other_after in (
                ("stream", PAUSING_STREAM, scripts[0], 0.2), ("call", PAUSING_CALL, scripts[1], 0.1)):
            sound = await site.start_upstream(f"sound-{kind}-{index}", f"{kind}-{index}", script)
            cases[kind, behaviour] = (sound, other_script, other_after)
    await site.settle()
    calls = [pause_beside_other(site, *case, patience) for case in cases.values()]
    return dict(zip(cases, await asyncio.gather(*calls)))


async def change_during_pauses(site, patience, count=4):
    """Moves two routes to services whose upstreams refuse, while requests of the old services are in a pause.

    The hosts of the old services are about to leave, so their other upstreams refuse too. Returns the answers to the
    requests before and after the change.
    """
    sound = {}
    for name, script in (("stream", PAUSING_STREAM), ("call", PAUSING_CALL)):
        sound[name] = await site.start_upstream(f"sound-{name}", f"old-{name}", script)
        await site.start_upstream(f"new-{name}", f"new-{name}", refuse, is_entered=False)
    await site.settle()
    before = [asyncio.ensure_future(site.caller(patience).call(f"/{name}/", TIMEOUT_MS))
              for name in ("stream", "call") for _ in range(count)]
    await asyncio.gather(*(upstream.arrived.wait() for upstream in sound.values()))
    for name in ("stream", "call"):
        await site.start_upstream(f"leaving-{name}", f"old-{name}", refuse)
        new = next(upstream for upstream in site.upstreams if upstream.id == f"new-{name}")
        await site.enter(new.id, new.service, new.address)
    site.routes = [{**route_, "service": f"new-{route_['name']}"} if route_["name"] in ("stream", "call") else route_
                   for route_ in site.routes]
    await site.configure()
    await asyncio.sleep(0.5)
    after = [asyncio.ensure_future(site.caller(patience).call(f"/{name}/", TIMEOUT_MS)) for name in ("stream", "call")]
    return await asyncio.gather(*before), await asyncio.gather(*after)


def change_routes():
    return [route("stream", "streaming", "old-stream"), route("call", "safe", "old-call")]


# What becomes of an upstream after its first event, or instead of an answer. Another one is known by then.
DEATHS = {"silent": stay_silent, "reset": later(0.3, break_off)}


def death_routes():
    routes = [route(f"{kind}-{death}", "streaming" if kind == "stream" else "safe", f"{kind}-{death}")
              for kind in ("stream", "call") for death in DEATHS]
    return [*routes, route("stream-refused", "streaming", "stream-refused", attempts=3),
            route("call-silent-twice", "safe", "call-silent-twice", attempts=3)]


async def all_deaths(site):
    """Returns the answers to requests whose upstream dies while another one can take over."""
    cases = {}
    for death, script in DEATHS.items():
        cases[f"stream-{death}"] = (stream(EVENT_COUNT, end={1: script}), [stream(EVENT_COUNT)])
        cases[f"call-{death}"] = (script, [answer()])
    cases["stream-refused"] = (stream(EVENT_COUNT, end={1: stay_silent}), [refuse, stream(EVENT_COUNT)])
    cases["call-silent-twice"] = (stay_silent, [stay_silent, answer()])
    dead = [await site.start_upstream(f"dead-{name}", name, script) for name, (script, _) in cases.items()]
    await site.settle()
    calls = {name: asyncio.ensure_future(site.caller().call(f"/{name}/", TIMEOUT_MS)) for name in cases}

    async def enter_others(name, dead_upstream, scripts):
        await dead_upstream.arrived.wait()
        for index, script in enumerate(scripts):
            other = await site.start_upstream(f"other-{index}-{name}", name, script)
            if script is stay_silent:
                await other.arrived.wait()  # So that the silent one gets the request before the next.

    await asyncio.gather(*(enter_others(name, upstream, scripts)
                           for (name, (_, scripts)), upstream in zip(cases.items(), dead)))
    return dict(zip(calls, await asyncio.gather(*calls.values())))


async def stop_with_late_requests(site):
    """Sends SIGTERM and requests before and after it. Returns the time of the signal and the answers by case."""
    await site.start_upstream("worker", "once", answer())
    await site.start_upstream("silent", "safe", stay_silent)
    await site.settle()
    kept = site.caller(STOP_TIMEOUT_MS / 1000)
    await kept.call("/once/", STOP_TIMEOUT_MS)
    stopped_at = time.monotonic() + 0.5

    async def call(at, work_seconds, caller=None, rest_at=None, path="/once/"):
        await asyncio.sleep(stopped_at + at - time.monotonic())
        caller = caller or site.caller(STOP_TIMEOUT_MS / 1000)
        return await caller.call(path, STOP_TIMEOUT_MS, b"x" * 1000,
                                 stopped_at + rest_at if rest_at is not None else None,
                                 [f"Work-Ms: {round(1000 * work_seconds)}"])

    cases = {
        "half a body before the stop, the rest at 6 s, 3 s of work": call(-0.2, 3, rest_at=6),
        "new connection at 2.3 s, 6 s of work": call(2.3, 6),
        "new connection at 1 s, 6.1 s of work": call(1, 6.1),
        "idle kept connection at 2 s, short work": call(2, 0.05, kept),
        "half a body before the stop, the rest at 2.9 s, 3 s of work": call(-0.2, 3, rest_at=2.9),
        "half a body before the stop, the rest at 6 s, short work": call(-0.2, 0.05, rest_at=6),
        "new connection at 3.5 s, short work": call(3.5, 0.05),
        "sent 0.3 s before the stop, 12 s of work": call(-0.3, 12),
        "sent 0.3 s before the stop to a silent upstream": call(-0.3, 0, path="/safe/"),
        "sent at 2 s to a silent upstream": call(2, 0, path="/safe/"),
    }

    async def stop():
        await asyncio.sleep(stopped_at - time.monotonic())
        site.process.send_signal(signal.SIGTERM)

    answers = await asyncio.gather(*cases.values(), stop())
    return stopped_at, dict(zip(cases, answers))


HEAD = b"HTTP/1.1 200 OK\r\nBergamotpaddle-Response-Seal: seal\r\n"
CUT_HEADS = {
    "within the status line": b"HTTP/1.1 200",
    "after the status line": b"HTTP/1.1 200 OK\r\n",
    "after a field": HEAD,
    "within the name of a field": HEAD + b"Content-Len",
    "within the value of a field": HEAD + b"Content-Length: 1",
    "before the empty line": HEAD + b"Content-Length: 0\r\n",
}


def cut_routes():
    return [route(f"{kind}-{index}", kind, f"{kind}-{index}")
            for index in range(len(CUT_HEADS)) for kind in ("unsafe", "safe", "streaming")]


async def all_cut_heads(site):
    """Returns the answers to requests whose upstream breaks off within the head, by kind and place."""
    cases = {}
    for index, (place, head) in enumerate(CUT_HEADS.items()):
        for kind in ("unsafe", "safe", "streaming"):
            cases[kind, place] = f"{kind}-{index}"
            await site.start_upstream(f"cut-{kind}-{index}", f"{kind}-{index}", cut(head))
    await site.settle()
    calls = [site.caller().call(f"/{name}/", 1500) for name in cases.values()]
    return dict(zip(cases, await asyncio.gather(*calls)))


class LostAnswers(unittest.TestCase):
    def start(self, routes, bounds=None):
        site = Site(routes, bounds)
        self.addCleanup(site.close)
        return site

    def assert_whole(self, site, answer_):
        """Checks that a stream or a call was answered by its upstream, with no event twice or missing."""
        arrivals = site.arrivals_of(answer_)
        self.assertTrue(answer_.is_complete, answer_)
        self.assertEqual(answer_.status, 200, answer_)
        seal = answer_.fields["bergamotpaddle-response-seal"]
        if "text/event-stream" in answer_.fields.get("content-type", ""):
            self.assertEqual(answer_.event_ids, WHOLE_STREAM)
            self.assertEqual(seal, f"seal-{arrivals[0][0].id}-200")
        else:
            self.assertIn((seal, answer_.body.decode()),
                          [(f"seal-{upstream.id}-200", f"answer of {upstream.id}") for upstream, _ in arrivals])

    # Guards against requests that left a sound upstream for one that didn't take them.
    def test_pause_of_sound_upstream_beside_another_one(self):
        site = self.start(pause_routes())
        for (kind, behaviour), answer_ in site.run(all_pauses(site, CALLER_PATIENCE_SECONDS)).items():
            with self.subTest(kind=kind, other=behaviour):
                self.assert_whole(site, answer_)
                arrivals = dict((upstream.id.split("-")[0], arrival) for upstream, arrival in
                                site.arrivals_of(answer_))
                if kind == "stream" and behaviour == "resumes" and "other" in arrivals:
                    overlap = arrivals["sound"].ended_at - arrivals["other"].response_at
                    self.assertLess(overlap, OVERLAP_SECONDS)

    def test_pauses_while_route_moves_to_service_that_refuses(self):
        site = self.start(change_routes())
        before, after = site.run(change_during_pauses(site, CALLER_PATIENCE_SECONDS))
        for index, answer_ in enumerate(before):
            with self.subTest(in_flight=index):
                self.assert_whole(site, answer_)
        for answer_ in after:
            with self.subTest(after_change=str(answer_)):
                self.assertTrue(answer_.is_complete)
                self.assertEqual(answer_.status, 503)

    def test_request_of_dead_upstream_goes_on_at_another_one_before_the_caller_leaves(self):
        site = self.start(death_routes())
        for name, answer_ in site.run(all_deaths(site)).items():
            with self.subTest(name):
                self.assert_whole(site, answer_)

    # Guards against requests that were passed on late in a stop and cut at its end.
    def test_requests_late_in_stop_are_answered(self):
        site = self.start([route("once", "unsafe", "once", 1, STOP_TIMEOUT_MS),
                           route("safe", "safe", "safe", 2, STOP_TIMEOUT_MS)], {"graceS": GRACE_SECONDS})
        stopped_at, answers = site.run(stop_with_late_requests(site))
        self.assertEqual(site.process.wait(GRACE_SECONDS), 0)
        self.assertLess(time.monotonic() - stopped_at, GRACE_SECONDS)
        for name, answer_ in answers.items():
            arrivals = [arrival for _, arrival in site.arrivals_of(answer_)]
            with self.subTest(name):
                self.assertLessEqual(len(arrivals), 1)
                if answer_.was_refused:
                    self.assertEqual(arrivals, [])
                else:
                    self.assertTrue(answer_.is_complete, answer_)
                    self.assertIn(answer_.status, (503,) if not arrivals else (200, 504))
            with self.subTest(name, checked="time limit"):
                for arrival in arrivals:
                    if arrival.at < stopped_at:
                        continue
                    self.assertLess(arrival.at + arrival.time_limit, stopped_at + GRACE_SECONDS + SIGNAL_SECONDS)
        for name in ("idle kept connection at 2 s, short work",
                     "half a body before the stop, the rest at 2.9 s, 3 s of work"):
            with self.subTest(name, checked="served"):
                self.assertEqual(answers[name].status, 200)

    def test_head_that_breaks_off_is_no_success(self):
        site = self.start(cut_routes())
        for (kind, place), answer_ in site.run(all_cut_heads(site)).items():
            with self.subTest(kind=kind, place=place):
                self.assertTrue(answer_.is_complete, answer_)
                self.assertEqual(answer_.status, 502)


if __name__ == "__main__":
    unittest.main()
