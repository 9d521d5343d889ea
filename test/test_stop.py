"""End-to-end tests of a planned stop: what callers get when their work outlasts the time until the process is killed."""
import http.client
import signal
import subprocess
import time
import unittest

from fleet_test_case import FleetTestCase

# From SIGTERM until the host kills the process.
GRACE_SECONDS = 8


class PlannedStop(FleetTestCase):
    chat_count = 1
    service_count = 1

    def setUp(self):
        self.fleet.inject_faults(self.fleet.services[0], delay_ms=3 * GRACE_SECONDS * 1000)
        self.fleet.inject_faults(self.fleet.engines[0], slowdown=100)

    def tearDown(self):
        self.fleet.inject_faults(self.fleet.services[0], delay_ms=0)
        self.fleet.inject_faults(self.fleet.engines[0], slowdown=1)
        for name in ("router-1", "kv"):
            process = self.fleet.processes[name]
            process.signal(signal.SIGCONT)
            if process.child.poll() is not None:
                process.start()
        self.fleet.wait_until(self.fleet.all_links_up)

    def stop_router(self):
        """Stops the first router as a host does; returns its exit code."""
        process = self.fleet.processes["router-1"]
        process.signal(signal.SIGTERM)
        try:
            return process.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            process.signal(signal.SIGKILL)
            return process.wait(5)

    def answer(self, call):
        """Returns the status, code and `ran` of an answer, or the error in its place."""
        try:
            response = call()
            error = response.json().get("error", {})
            return response.status, error.get("name"), error.get("ran")
        except (OSError, http.client.HTTPException) as failure:
            return type(failure).__name__

    def start(self, call):
        return self.in_background(self.answer, call)

    def test_work_that_outlasts_the_grace_is_answered_before_the_process_ends(self):
        call = self.start(lambda: self.fleet.call(0, "kitchen", "route-desk", "/routes/lookup", {}))
        booking = self.start(lambda: self.fleet.call(0, "kitchen", "route-desk", "/bookings", {}, key="late"))
        chat = self.start(lambda: self.fleet.chat(0, "kitchen", "x", 2000))
        self.fleet.wait_until(lambda: self.fleet.router_status(0)["requests_under_way"] == 3)
        code = self.stop_router()
        for caller in (call, booking, chat):
            caller.join()
        answers = [caller.result for caller in (call, booking, chat)]
        self.assertEqual((code, answers), (0, 3 * [(504, "outcome_unknown", "unknown")]))

    def test_request_that_arrives_late_in_a_stop_is_refused(self):
        earlier = self.start(lambda: self.fleet.chat(0, "cafe", "x", 2000))
        self.fleet.wait_until(lambda: self.fleet.router_status(0)["requests_under_way"] == 1)
        stopped = self.in_background(self.stop_router)
        time.sleep(4)
        late = self.answer(lambda: self.fleet.chat(0, "cafe", "late", 2))
        self.assertEqual(late, (503, "draining", "no"))
        stopped.join()
        earlier.join()

    def test_process_ends_within_the_grace_while_the_store_is_unreachable(self):
        self.fleet.kill("kv", signal.SIGSTOP)
        waiting = self.start(lambda: self.fleet.chat(0, "hotel", "x", 20))
        self.fleet.wait_until(lambda: self.fleet.router_status(0)["requests_under_way"] == 1)
        code = self.stop_router()
        waiting.join()
        self.assertEqual((code, waiting.result), (0, (503, "credit_unreachable", "no")))


if __name__ == "__main__":
    unittest.main()
