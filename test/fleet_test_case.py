"""Base class of the end-to-end tests: one fleet of real processes per test class."""
import pathlib
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "utils"))
from fleetlib import Fleet  # noqa: E402


class FleetTestCase(unittest.TestCase):
    """Starts a fleet with the Fernvale configuration before the first test and stops it after the last."""

    router_count = 2
    chat_count = 3
    service_count = 2

    @classmethod
    def setUpClass(cls):
        cls.directory = tempfile.TemporaryDirectory(prefix="bergamotpaddle-test-")
        cls.fleet = Fleet(
            cls.directory.name,
            router_count=cls.router_count,
            chat_count=cls.chat_count,
            service_count=cls.service_count,
        )
        try:
            cls.fleet.configure()
        except Exception:
            cls.tearDownClass()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        cls.directory.cleanup()

    def in_background(self, function, *arguments):
        """Runs `function` in a thread and returns the thread.

        After join(), `result` of the thread holds the return value or the exception raised.
        """

        class Background(threading.Thread):
            result = None

            def run(thread):  # pylint: disable=no-self-argument
                try:
                    thread.result = function(*arguments)
                except Exception as error:  # pylint: disable=broad-except
                    thread.result = error

        thread = Background()
        thread.start()
        return thread

    def runs_of(self, key):
        """Returns the runs whose request key or idempotency key is `key`."""
        return [run for run in self.fleet.runs() if key in (run.get("request_id"), run.get("idempotency_key"))]


def parse_stream(stream_body):
    """Returns the text of a streamed response and whether it ended with [DONE]."""
    import json

    pieces = []
    for line in stream_body.splitlines():
        if line.startswith("data: {"):
            event = json.loads(line[6:])
            if "choices" in event:
                pieces.append(event["choices"][0]["delta"].get("content", ""))
    return "".join(pieces), stream_body.rstrip().endswith("data: [DONE]")
