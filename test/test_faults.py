"""End-to-end tests of billing and execution guarantees under signals to processes and faults of the platform."""
import signal
import unittest

from fleet_test_case import FleetTestCase, parse_stream
from fleetlib import Fleet, http_call


class Faults(FleetTestCase):
    def assert_billed(self, account, tokens, seconds=60):
        try:
            Fleet.wait_until(lambda: self.fleet.charged(account) == tokens, seconds)
        except TimeoutError:
            self.fail(f"{account} was billed {self.fleet.charged(account)} tokens instead of {tokens} after {seconds} s")

    def wait_until_running(self, key, tokens=5):
        Fleet.wait_until(lambda: any(run["completion_tokens"] >= tokens for run in self.runs_of(key)))

    def restart(self, name):
        self.fleet.processes[name].start()
        Fleet.wait_until(self.fleet.all_links_up)

    def test_1_router_killed_during_stream(self):
        first = self.in_background(self.fleet.chat, 0, "hotel", "note", 100, "kill-1", True)
        self.wait_until_running("kill-1")
        self.fleet.kill("router-1")
        first.join()
        text, is_done = parse_stream(self.fleet.chat(1, "hotel", "note", 100, "kill-1", True).body)
        self.assertTrue(is_done)
        self.assertEqual(len(text.split()), 100)
        runs = self.runs_of("kill-1")
        self.assertEqual(len(runs), 1)
        self.assert_billed("hotel", runs[0]["prompt_tokens"] + 100)
        self.restart("router-1")

    def test_2_agent_killed_during_stream(self):
        stream = self.in_background(self.fleet.chat, 0, "dock", "note", 150, "kill-2", True)
        self.wait_until_running("kill-2")
        agents = [agent["upstream"] for agent in self.fleet.router_status(0)["agents"] if agent["outstanding"] > 0]
        self.assertEqual(len(agents), 1)
        self.fleet.kill("agent-" + agents[0])
        stream.join()
        text, is_done = parse_stream(stream.result.body)
        self.assertTrue(is_done, stream.result.body[-300:])
        self.assertEqual(len(text.split()), 150)
        self.assert_billed("dock", self.runs_of("kill-2")[0]["prompt_tokens"] + 150)
        self.restart("agent-" + agents[0])

    def test_3_agent_suspended_and_resumed(self):
        stream = self.in_background(self.fleet.chat, 0, "school", "note", 150, "freeze-3", True)
        self.wait_until_running("freeze-3")
        agents = [agent["upstream"] for agent in self.fleet.router_status(0)["agents"] if agent["outstanding"] > 0]
        self.fleet.kill("agent-" + agents[0], signal.SIGSTOP)
        stream.join()
        self.fleet.kill("agent-" + agents[0], signal.SIGCONT)
        text, is_done = parse_stream(stream.result.body)
        self.assertTrue(is_done, stream.result.body[-300:])
        self.assertEqual(len(text.split()), 150)
        Fleet.wait_until(self.fleet.all_links_up)
        # The request may have run twice, but it is billed once.
        self.assert_billed("school", self.runs_of("freeze-3")[0]["prompt_tokens"] + 150)

    def test_4_same_booking_through_both_routers(self):
        calls = [
            self.in_background(self.fleet.call, router, "kitchen", "route-desk", "/bookings", {"van": 1}, "book-4")
            for router in (0, 1, 0, 1)
        ]
        for call in calls:
            call.join()
        self.assertEqual([call.result.status for call in calls], [200] * 4)
        self.assertEqual(len({call.result.body for call in calls}), 1)
        self.assertEqual(len(self.runs_of("book-4")), 1)

    def test_5_booking_whose_response_is_lost(self):
        for url in self.fleet.services:
            self.fleet.inject_faults(url, lose_answers=1)
        first = self.fleet.call(0, "kitchen", "route-desk", "/bookings", {"van": 1}, "book-5")
        retry = self.fleet.call(1, "kitchen", "route-desk", "/bookings", {"van": 1}, "book-5")
        for url in self.fleet.services:
            self.fleet.inject_faults(url, lose_answers=0)
        self.assertEqual((first.status, first.json()["error"]["ran"]), (504, "unknown"))
        self.assertEqual((retry.status, retry.json()["error"]["ran"]), (504, "unknown"))
        self.assertEqual(len(self.runs_of("book-5")), 1)

    def test_6_platform_outage(self):
        self.assertEqual(self.fleet.chat(0, "canteen", "warm", 10).status, 200)
        self.fleet.inject_faults(self.fleet.kv, down=True)
        try:
            # Chat requests use budget already drawn; a booking is refused and does not run.
            chat = self.fleet.chat(0, "canteen", "x", 2)
            booking = self.fleet.call(0, "canteen", "route-desk", "/bookings", {}, "book-6")
        finally:
            self.fleet.inject_faults(self.fleet.kv, down=False)
        self.assertEqual(chat.status, 200, chat.body)
        self.assertEqual(booking.status, 503, booking.body)
        self.assertEqual(booking.json()["error"]["ran"], "no")
        self.assertEqual(len(self.runs_of("book-6")), 0)

    def test_7_configuration_change_while_responses_are_lost(self):
        self.fleet.inject_faults(self.fleet.kv, lose_answers=2)
        drained = self.fleet.ctl("upstream", "drain", "linen-writer-01", "--wait", "--change_id", "c7")
        self.assertEqual(drained.returncode, 0, drained.stderr)
        agents = {agent["upstream"]: agent["takes_work"] for agent in self.fleet.router_status(0)["agents"]}
        self.assertFalse(agents["linen-writer-01"])
        restored = self.fleet.ctl("upstream", "restore", "linen-writer-01", "--wait")
        self.assertEqual(restored.returncode, 0, restored.stderr)
        changes = [entry["change_id"] for entry in self.fleet.ctl_json("config", "history")]
        self.assertEqual(changes.count("c7"), 1)

    def test_8_unauthorized_access_is_refused(self):
        self.assertEqual(http_call(self.fleet.routers[0] + "/admin/status").status, 401)
        caller_key = {"Authorization": "Bearer demo-cafe"}
        self.assertEqual(http_call(self.fleet.routers[0] + "/admin/timeline", headers=caller_key).status, 401)
        self.assertEqual(http_call(self.fleet.agents[0] + "/v1/models", headers=caller_key).status, 404)

    def test_9_rolling_restart_fails_no_request(self):
        is_running = [True]
        failures = []

        def caller(index):
            router = index % 2
            count = 0
            while is_running[0]:
                try:
                    if http_call(self.fleet.routers[router] + "/readyz").status != 200:
                        router = 1 - router
                        continue
                    response = self.fleet.chat(router, "butcher", "x", 20)
                    if response.status != 200:
                        failures.append((router, response.status, response.body))
                    count += 1
                except ConnectionRefusedError:
                    # No request was sent; a load balancer would also try the other router.
                    router = 1 - router
                except Exception as error:  # pylint: disable=broad-except
                    failures.append((router, repr(error)))
            return count

        callers = [self.in_background(caller, index) for index in range(6)]
        try:
            for name in ("router-1", "router-2", "agent-linen-writer-01", "agent-linen-writer-02"):
                process = self.fleet.processes[name]
                process.signal(signal.SIGTERM)
                self.assertEqual(process.wait(30), 0)
                self.restart(name)
        finally:
            is_running[0] = False
            for thread in callers:
                thread.join()
        self.assertEqual(failures, [])
        self.assertGreater(sum(thread.result for thread in callers), 20)


if __name__ == "__main__":
    unittest.main()
