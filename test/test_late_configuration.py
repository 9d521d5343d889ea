"""Real gateways of unequal links: a change of a large configuration is in force in time."""
import time
import unittest

from platform_stand_in import CONFIG_KEY, Platform

ROUTES = 3000
BOUND_SECONDS = 3
IDLE_LINK_BYTES = 1_250_000
# What one connection got of the same link, 10 Mbit/s, while callers filled it.
BUSY_LINK_BYTES = 100_000
SILENT_LINK_BYTES = 1
CLOSED_PORT = 1
# There are no upstreams: what a gateway answers once it knows a route.
KNOWN = "no_upstream"


def document(version):
    """A configuration of 3,000 routes in which version V has the route /added-V/."""
    route = {"kind": "safe", "timeoutMs": 1000, "sloMs": 100, "attempts": 2, "priority": 1, "public": True}
    routes = [{**route, "name": f"r-{i:07d}", "host": "desk.example", "pathPrefix": f"/path{i}/of-a-route/",
               "service": "desk"} for i in range(ROUTES)]
    added = {**route, "name": f"a-{version}", "host": "desk.example", "pathPrefix": f"/added-{version}/",
             "service": "desk"}
    routes.insert(version * 37 % ROUTES, added)
    return {"version": version, "routes": routes, "services": [{"name": "desk"}],
            "tenants": [{"name": "cafe", "apiKeys": ["key"], "prepaid": 1000000}], "limits": {}}


class LateConfiguration(unittest.TestCase):
    # A version came 12.8 s late where callers filled the router's link.
    def test_change_reaches_router_with_busy_link_in_time(self):
        platform = Platform()
        self.addCleanup(platform.close)
        platform.put(CONFIG_KEY, document(1))
        wide = [platform.start_gateway(number, 200) for number in (2, 3)]
        link = platform.link_to_store(IDLE_LINK_BYTES)
        busy = platform.start_gateway(4, 10, link.port)
        for ip in [*wide, busy]:
            platform.wait_until(lambda ip=ip: platform.refusal(ip, "/added-1/") == KNOWN, 30)
        time.sleep(3)  # Until the gateways have heard of one another.
        link.bytes_per_second = BUSY_LINK_BYTES
        for version in (2, 3, 4):
            platform.put(CONFIG_KEY, document(version))
            confirmed = time.monotonic()
            for ip in [*wide, busy]:
                while platform.refusal(ip, f"/added-{version}/") != KNOWN:
                    self.assertLess(time.monotonic() - confirmed, BOUND_SECONDS, f"version {version} at {ip}")
                    time.sleep(0.02)

    # It once answered 404 for routes of versions that it could not have heard of.
    def test_gateway_that_hears_nothing_says_so(self):
        platform = Platform()
        self.addCleanup(platform.close)
        platform.put(CONFIG_KEY, document(1))
        link = platform.link_to_store(IDLE_LINK_BYTES)
        alone = platform.start_gateway(2, 10, link.port)
        platform.wait_until(lambda: platform.refusal(alone, "/added-1/") == KNOWN, 30)
        self.assertEqual(platform.refusal(alone, "/added-2/"), "unknown_route")
        link.bytes_per_second = SILENT_LINK_BYTES
        platform.put(CONFIG_KEY, document(2))
        time.sleep(BOUND_SECONDS + 0.5)
        self.assertEqual(platform.refusal(alone, "/added-2/"), "not_configured")
        self.assertEqual(platform.refusal(alone, "/added-1/"), KNOWN)

    def test_gateway_that_starts_without_store_learns_configuration_from_another(self):
        platform = Platform()
        self.addCleanup(platform.close)
        platform.put(CONFIG_KEY, document(1))
        other = platform.start_gateway(2, 200)
        platform.wait_until(lambda: platform.refusal(other, "/added-1/") == KNOWN, 30)
        started = platform.start_gateway(3, 200, CLOSED_PORT, [other])
        platform.wait_until(lambda: platform.refusal(started, "/added-1/") == KNOWN, 10)


if __name__ == "__main__":
    unittest.main()
