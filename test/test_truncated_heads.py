"""End-to-end tests of services whose connections close within or right after the head of a response."""
import signal
import socket
import threading
import unittest
import urllib.parse

from fleet_test_case import FleetTestCase
from fleetlib import Fleet, http_call

HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"


class ScriptedService:
    """Listens at the address of a service stand-in that was stopped; closes each connection after its response."""

    def __init__(self, url):
        address = urllib.parse.urlsplit(url)
        self.response = HEALTHY
        self.calls = 0
        self.listener = socket.create_server((address.hostname, address.port))
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                request = connection.recv(65536)
                is_health_check = request.startswith(b"GET /healthz")
                self.calls += 0 if is_health_check else 1
                connection.sendall(HEALTHY if is_health_check else self.response)

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class TruncatedHeads(FleetTestCase):
    def setUp(self):
        for process in self.fleet.processes.values():
            if process.role == "service":
                process.signal(signal.SIGKILL)
                process.wait(5)
        self.services = [ScriptedService(url) for url in self.fleet.services]

    def tearDown(self):
        for service in self.services:
            service.close()

    def book(self, key):
        return self.fleet.call(0, "kitchen", "route-desk", "/bookings", {"van": 1}, key)

    def metric(self, name):
        lines = [line for agent in self.fleet.agents for line in http_call(agent + "/metrics").body.splitlines()]
        return sum(float(line.split()[-1]) for line in lines if not line.startswith("#") and name in line)

    def test_truncated_heads(self):
        heads = [
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1",
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
        ]
        charged = self.fleet.charged("kitchen")
        for index, head in enumerate(heads):
            with self.subTest(head=head):
                for service in self.services:
                    service.response = head
                key = f"cut-{index}"
                self.assertGreaterEqual(self.book(key).status, 500)
                runs = sum(service.calls for service in self.services)
                # The outcome is unknown, so the key neither runs again nor has an answer.
                self.assertGreaterEqual(self.book(key).status, 500)
                self.assertEqual(sum(service.calls for service in self.services), runs)
        self.assertEqual(self.metric("http_truncated_heads_total"), 3)
        log = "".join(path.read_text() for path in self.fleet.directory.glob("agent-*.log"))
        self.assertEqual(log.count("response_head_truncated"), 3)
        # A call with a whole answer is the only one that is billed.
        for service in self.services:
            service.response = HEALTHY
        whole = self.book("whole")
        self.assertEqual((whole.status, whole.body), (200, "{}"))
        calls = self.fleet.configuration["services"]["route-desk"]["calls"]
        cost = next(call["cost_tokens"] for call in calls if call["path"] == "/bookings")
        Fleet.wait_until(lambda: self.fleet.charged("kitchen") != charged)
        self.assertEqual(self.fleet.charged("kitchen") - charged, cost)


if __name__ == "__main__":
    unittest.main()
