"""What the scripts of review/6 to review/10 share: gateways started as the deploy file says, and a record.

The platform, the upstreams and the callers are the project's own stand-ins under test/; the gateway gets a whole
settings file, as on the platform, and is started by the `run` line of deploy/system.toml.
"""
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))
os.environ.setdefault("BERGAMOTPADDLE_BUILD", str(ROOT / "target"))

from gateway_site import Site, route  # noqa: E402, F401
from platform_stand_in import Platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As on the sheet of regal-schrift.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 8,
    "lostSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryBudget": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "recoveryS": 12, "passMs": 120,
    "reuseWindowS": 8.5, "settle_ms": 1500}
CALLER_LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
LIMITS = {"cpuShare": 0.19, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}


def run_command():
    """The command of the router in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    program, *arguments = re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1).split(" ")
    return [str(ROOT / program), *arguments]


class DeployedPlatform(Platform):
    """The stand-in of the platform, which starts gateways as the deploy file says."""

    async def put_item(self, key, document):
        await self.store.put(key, json.dumps(document))

    def start_gateway(self, number, link_mbps=1000, store_port=None, seeds=(), bounds=None, limits=None):
        ip = f"{self.network}.{number}"
        zone = "muenchen"
        settings = {
            "node": f"front-{zone}-{number}", "role": "router", "class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": zone, "region": "bayern", "zones": {zone: "bayern"},
            "listen": {"front": f"{ip}:{self.caller_port}", "ready": f"{ip}:{self.ready_port}",
                       "control": f"{ip}:{self.peer_port + 1}"},
            "portRange": [self.peer_port, self.peer_port], "seeds": [f"{peer}:{self.peer_port + 1}" for peer in seeds],
            "bootstrap": True, "countsAsLoss": False, "limits": {**LIMITS, **(limits or {})}, "dataDir": None,
            "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": {**BOUNDS, **(bounds or {})},
            "provider": {"addr": f"127.0.0.1:{store_port or self.store_port}", "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        path = pathlib.Path(self.directory.name) / f"{number}.json"
        path.write_text(json.dumps(settings))
        with open(pathlib.Path(self.directory.name) / f"{number}.log", "ab") as log:
            self.gateways.append(subprocess.Popen(
                run_command(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "BERGAMOTPADDLE_NODE_FILE": str(path)}))
        return ip


class DeployedSite(Site):
    """One gateway with its platform and scripted upstreams."""

    def __init__(self, routes, service_fields=None):
        self.platform = DeployedPlatform()
        self.routes = [*routes, route("probe", "safe", "probe")]
        self.version = 0
        self.service_fields = service_fields or {}
        self.upstreams = []
        self.run(self.configure())
        self.ip = self.platform.start_gateway(2)

    async def configure(self):
        """Writes a new version of the configuration, with the limits that the pages show."""
        self.version += 1
        services = sorted({route_["service"] for route_ in self.routes})
        await self.platform.put_item("op/config", {
            "version": self.version, "routes": self.routes, "limits": CALLER_LIMITS,
            "services": [{"name": service, "healthPath": "/healthz", "maxConns": 230, **self.service_fields}
                         for service in services]})


class Record:
    """Writes record.txt in the folder of a case; times are seconds from `start`."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")
        self.file.flush()

    def note(self, text):
        self.file.write(f"{text}\n")
        self.file.flush()


def finish(record, verdict, is_broken):
    """Ends the script with the exit code of the verdict."""
    record.note(verdict)
    print(verdict)
    sys.exit(1 if is_broken else 0)


def play(folder, make_site, coroutine_of, seconds):
    """Runs a case: makes the site, plays the coroutine, closes the site; exits with 2 if the case couldn't run."""
    import asyncio
    import traceback

    # A signal that comes while the site is made waits until there is something to close. (Blocking it would block it
    # in the gateways as well.)
    is_made = False
    is_ended = False

    def stop(_number, _frame):
        nonlocal is_ended
        is_ended = True
        if is_made:
            raise KeyboardInterrupt("the script is to end")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    record = Record(folder)
    record.note("with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")
    try:
        if not os.access(run_command()[0], os.X_OK):
            raise RuntimeError("the deploy file's build has not run")
        site = make_site()
    except Exception:
        record.note(traceback.format_exc())
        print("the case couldn't run; see record.txt")
        sys.exit(2)
    try:
        is_made = True
        if is_ended:
            raise KeyboardInterrupt("the script is to end")
        result = asyncio.run_coroutine_threadsafe(coroutine_of(site, record), site.platform.loop).result(seconds)
    except BaseException:
        record.note(traceback.format_exc())
        print("the case couldn't run; see record.txt")
        result = None
    finally:
        site.close()
    if result is None:
        sys.exit(2)
    finish(record, *result)
