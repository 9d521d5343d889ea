"""Gateways with links of different rates: a change of a large configuration is in force within its time limit."""
import time
import unittest

from platform_stand_in import CONFIG_KEY, Platform

ROUTE_COUNT = 3000
# Equals bounds/configMs in the settings of the gateways.
BOUND_SECONDS = 3
IDLE_LINK_BYTES_PER_SECOND = 1_250_000
# What one connection received of the same 10 Mbit/s link while callers saturated it.
BUSY_LINK_BYTES_PER_SECOND = 100_000
STALLED_LINK_BYTES_PER_SECOND = 1
CLOSED_PORT = 1
# There are no upstreams, so this is the error for every route in the gateway's configuration.
KNOWN_ROUTE_ERROR = "no_upstream"


def configuration(version):
    """Returns a configuration of 3,000 routes and, in version V, the route /added-V/."""
    route = {"kind": "safe", "timeoutMs": 1000, "sloMs": 100, "attempts": 2, "priority": 1, "public": True}
    routes = [{**route, "name": f"r-{i:07d}", "host": "desk.example", "pathPrefix": f"/path{i}/of-a-route/",
               "service": "desk"} for i in range(ROUTE_COUNT)]
    added = {**route, "name": f"a-{version}", "host": "desk.example", "pathPrefix": f"/added-{version}/",
             "service": "desk"}
    routes.insert(version * 37 % ROUTE_COUNT, added)
    return {"version": version, "routes": routes, "services": [{"name": "desk"}],
            "tenants": [{"name": "cafe", "apiKeys": ["key"], "prepaid": 1000000}], "limits": {}}


class LateConfiguration(unittest.TestCase):
    # Guards against a version that was in force 12.8 s late because callers saturated the router's link.
    def test_change_reaches_router_with_busy_link_in_time(self):
        platform = Platform()
        self.addCleanup(platform.close)
        platform.put(CONFIG_KEY, configuration(1))
        fast = [platform.start_gateway(number, 200) for number in (2, 3)]
        link = platform.link_to_store(IDLE_LINK_BYTES_PER_SECOND)
        busy = platform.start_gateway(4, 10, link.port)
        for ip in [*fast, busy]:
            platform.wait_until(lambda ip=ip: platform.error_name(ip, "/added-1/") == KNOWN_ROUTE_ERROR, 30)
        time.sleep(3)  # Until the gateways have discovered each other.
        link.bytes_per_second = BUSY_LINK_BYTES_PER_SECOND
        for version in (2, 3, 4):
            platform.put(CONFIG_KEY, configuration(version))
            written_at = time.monotonic()
            for ip in [*fast, busy]:
                while platform.error_name(ip, f"/added-{version}/") != KNOWN_ROUTE_ERROR:
                    self.assertLess(time.monotonic() - written_at, BOUND_SECONDS, f"version {version} at {ip}")
                    time.sleep(0.02)

    # Guards against a response of 404 for routes of versions that the gateway cannot have received.
    def test_gateway_behind_stalled_link_reports_not_configured(self):
        platform = Platform()
        self.addCleanup(platform.close)
        platform.put(CONFIG_KEY, configuration(1))
        link = platform.link_to_store(IDLE_LINK_BYTES_PER_SECOND)
        gateway = platform.start_gateway(2, 10, link.port)
        platform.wait_until(lambda: platform.error_name(gateway, "/added-1/") == KNOWN_ROUTE_ERROR, 30)
        self.assertEqual(platform.error_name(gateway, "/added-2/"), "unknown_route")
        link.bytes_per_second = STALLED_LINK_BYTES_PER_SECOND
        platform.put(CONFIG_KEY, configuration(2))
        time.sleep(BOUND_SECONDS + 0.5)
        self.assertEqual(platform.error_name(gateway, "/added-2/"), "not_configured")
        self.assertEqual(platform.error_name(gateway, "/added-1/"), KNOWN_ROUTE_ERROR)

    def test_gateway_that_starts_without_store_receives_configuration_from_another(self):
        platform = Platform()
        self.addCleanup(platform.close)
        platform.put(CONFIG_KEY, configuration(1))
        other = platform.start_gateway(2, 200)
        platform.wait_until(lambda: platform.error_name(other, "/added-1/") == KNOWN_ROUTE_ERROR, 30)
        started = platform.start_gateway(3, 200, CLOSED_PORT, [other])
        platform.wait_until(lambda: platform.error_name(started, "/added-1/") == KNOWN_ROUTE_ERROR, 10)


if __name__ == "__main__":
    unittest.main()
