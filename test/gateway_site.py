"""One real gateway with its platform and scripted upstreams."""
import asyncio
import json
import time

from platform_stand_in import CONFIG_KEY, Platform
from scripted_upstream import Caller, ScriptedUpstream, answer

TIMEOUT_MS = 8000
# Callers abandon a stream after this time without an event (that is more than four times the objective and more
# than eight times the aim for pauses of the routes here).
CALLER_PATIENCE_SECONDS = 2
# Time from SIGTERM until the platform kills the process; the routers read it from their settings.
GRACE_SECONDS = 8


def route(name, kind, service, attempts=2, timeout_ms=TIMEOUT_MS):
    return {"name": name, "host": "desk.example", "pathPrefix": f"/{name}/", "service": service, "kind": kind,
            "resumable": kind == "streaming", "timeoutMs": timeout_ms, "sloMs": 100, "gapAimMs": 200,
            "attempts": attempts, "priority": 1, "public": True}


class Site:
    """One gateway and its scripted upstreams, all in the event loop of the platform."""

    def __init__(self, routes, bounds=None, limits=None, service_fields=None):
        self.platform = Platform()
        self.routes = [*routes, route("probe", "safe", "probe")]
        self.version = 0
        self.service_fields = service_fields or {}
        self.upstreams = []
        self.run(self.configure())
        self.ip = self.platform.start_gateway(2, 1000, bounds=bounds, limits=limits)

    @property
    def process(self):
        return self.platform.gateways[0]

    def run(self, coroutine):
        return self.platform.run_in_loop(coroutine)

    def close(self):
        self.platform.close()

    def caller(self, patience=CALLER_PATIENCE_SECONDS):
        return Caller(self.ip, self.platform.caller_port, patience)

    async def configure(self):
        """Writes a new version of the configuration."""
        self.version += 1
        services = sorted({route_["service"] for route_ in self.routes})
        document = {"version": self.version, "routes": self.routes, "limits": {},
                    "services": [{"name": service, **self.service_fields} for service in services]}
        await self.platform.store.put(CONFIG_KEY, json.dumps(document))

    async def enter(self, upstream_id, service, address, state="ready", zone="z", cold_left_ms=0):
        """Writes the entry of an upstream."""
        entry = {"service": service, "addr": address, "zone": zone, "version": 1, "slots": 8, "state": state,
                 "coldLeftMs": cold_left_ms, "seq": 1, "born": 1}
        await self.platform.store.put(f"servers/{upstream_id}", json.dumps(entry))

    async def start_upstream(self, upstream_id, service, script, is_entered=True):
        upstream = await ScriptedUpstream(upstream_id, service, script).start()
        self.upstreams.append(upstream)
        if is_entered:
            await self.enter(upstream.id, service, upstream.address)
        return upstream

    async def settle(self):
        """Waits until the gateway knows everything that was written so far."""
        name = f"probe-{len(self.upstreams)}-{self.version}"
        self.routes.append(route(name, "safe", name))
        await self.configure()
        await self.start_upstream(name, name, answer())
        give_up_at = time.monotonic() + 20
        while (await self.caller().call(f"/{name}/", 500)).status != 200:
            if self.process.poll() is not None:
                raise RuntimeError("the gateway ended: " + self.platform.logs(2))
            if time.monotonic() > give_up_at:
                raise TimeoutError("the gateway does not serve")
            await asyncio.sleep(0.05)

    def arrivals_of(self, answer_):
        """Returns the pairs of upstream and arrival of a request."""
        return [(upstream, arrival) for upstream in self.upstreams for arrival in upstream.arrivals
                if arrival.attempt_id == answer_.attempt_id]
