"""Starts and controls a fleet of real processes on loopback, for demos and tests.

Every process is a child of the caller and is stopped by its process id.
"""
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BERGAMOTPADDLE_BUILD", ROOT / "build"))
SECRET = "local-fleet-secret-0123456789"
OVERLAYS = {"fernvale": "qld-south", "landesamt": "bayern"}
READY_TIMEOUT_SECONDS = 20


def free_ports(count):
    """Returns unused ports below the range from which the system assigns ephemeral ports."""
    ports = []
    candidates = random.SystemRandom().sample(range(20000, 32000), 4 * count + 200)
    for port in candidates:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"fewer than {count} free ports on 127.0.0.1")


class Response:
    """An HTTP response: status, headers and body text."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def http_call(url, method="GET", body=None, headers=None, timeout=30):
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.hostname, parts.port, timeout=timeout)
    path = parts.path + ("?" + parts.query if parts.query else "")
    payload = json.dumps(body) if isinstance(body, (dict, list)) else body
    try:
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read().decode("utf-8", "replace"))
    finally:
        connection.close()


class Process:
    """A child process that can be restarted, with its role in the fleet."""

    def __init__(self, name, role, arguments, log):
        self.name = name
        self.role = role
        self.arguments = arguments
        self.log = log
        self.child = None
        self.start()

    def start(self):
        with open(self.log, "ab") as stream:
            self.child = subprocess.Popen(self.arguments, stdout=stream, stderr=stream, stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self.child.pid

    def signal(self, signal_number):
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def wait(self, timeout=30):
        return self.child.wait(timeout)


class Fleet:
    """The fleet of a site.

    `chat_count` and `service_count` limit the upstreams of each chat pool and of each other pool.
    """

    def __init__(
        self,
        directory,
        site="fernvale",
        router_count=2,
        chat_count=4,
        service_count=2,
        engine_flags=(),
        log_level="info",
    ):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.site = site
        self.log_level = log_level
        self.processes = {}
        self.configuration = self._load(site, chat_count, service_count)
        upstreams = [(pool, name) for pool, value in self.configuration["pools"].items() for name in value["upstreams"]]
        ports = iter(free_ports(2 + 2 * router_count + 3 * len(upstreams)))
        self.kv = f"http://127.0.0.1:{next(ports)}"
        self.hosts = f"http://127.0.0.1:{next(ports)}/hosts"
        self.routers = []
        self.agents = []
        self.engines = []
        self.services = []
        self._start_standin("kv", "kv", self.kv)
        self._start_standin("hosts", "hosts", self.hosts.rsplit("/", 1)[0])
        router_ports = [(next(ports), next(ports)) for _ in range(router_count)]
        zones = [
            upstream["zone"]
            for pool in self.configuration["pools"].values()
            for upstream in pool["upstreams"].values()
        ]
        for index, (http_port, link_port) in enumerate(router_ports):
            peers = [f"127.0.0.1:{link}" for _, link in router_ports if link != link_port]
            self._start_router(index, http_port, link_port, peers, zones[index % len(zones)])
        chat_pools = {model["pool"] for model in self.configuration["models"].values()}
        for pool, name in upstreams:
            is_chat = pool in chat_pools
            url = f"http://127.0.0.1:{next(ports)}"
            flags = list(engine_flags) if is_chat else []
            self._start_standin(f"upstream-{name}", "engine" if is_chat else "service", url, flags)
            (self.engines if is_chat else self.services).append(url)
            self._start_agent(pool, name, next(ports), next(ports), "engine" if is_chat else "service", url)

    @staticmethod
    def _load(site, chat_count, service_count):
        base = json.loads((ROOT / "examples" / site / "base.json").read_text())
        overlay = json.loads((ROOT / "examples" / site / (OVERLAYS[site] + ".json")).read_text())
        merge_patch(base, overlay)
        chat_pools = {model["pool"] for model in base["models"].values()}
        for name, pool in base["pools"].items():
            count = chat_count if name in chat_pools else service_count
            pool["upstreams"] = dict(sorted(pool["upstreams"].items())[:count])
        return base

    def _start_standin(self, name, kind, url, flags=()):
        port = url.rsplit(":", 1)[1]
        command = [str(BUILD / "bin" / "bergamotpaddle-standin"), "--kind", kind, "--port", port, *flags]
        self.processes[name] = Process(name, kind, command, self.directory / f"{name}.log")

    def _start_daemon(self, name, role, settings):
        settings = dict(settings, role=role, name=name, secret=SECRET, kv=self.kv, log={"level": self.log_level})
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        command = [str(BUILD / "bin" / "bergamotpaddled"), "--settings", str(path)]
        self.processes[name] = Process(name, role, command, self.directory / f"{name}.log")

    def _start_router(self, index, http_port, link_port, peers, zone):
        self.routers.append(f"http://127.0.0.1:{http_port}")
        self._start_daemon(
            f"router-{index + 1}",
            "router",
            {
                "zone": zone,
                "http": f"127.0.0.1:{http_port}",
                "listen": f"127.0.0.1:{link_port}",
                "peers": peers,
                "host_list": self.hosts,
            },
        )

    def _start_agent(self, pool, name, http_port, link_port, kind, url):
        upstream = self.configuration["pools"][pool]["upstreams"][name]
        upstream["agent"] = f"127.0.0.1:{link_port}"
        self.agents.append(f"http://127.0.0.1:{http_port}")
        self._start_daemon(
            f"agent-{name}",
            "agent",
            {
                "zone": upstream["zone"],
                "http": f"127.0.0.1:{http_port}",
                "listen": f"127.0.0.1:{link_port}",
                "upstream": {"name": name, "kind": kind, "url": url},
            },
        )

    def configure(self):
        """Applies the configuration with bergamotpaddlectl and waits until it is in force and all links are up."""
        (self.directory / "content.json").write_text(json.dumps(self.configuration, indent=2))
        self.ctl_settings().write_text(
            json.dumps({"kv": self.kv, "secret": SECRET, "processes": self.routers + self.agents})
        )
        self.wait_until(lambda: http_call(self.kv + "/v1/list?prefix=x").status == 200)
        result = self.ctl("config", "apply", "--base", str(self.directory / "content.json"), "--wait")
        if result.returncode != 0:
            raise RuntimeError(result.stdout + result.stderr)
        self.wait_until(self.all_links_up)

    def ctl_settings(self):
        return self.directory / "ctl.json"

    def ctl(self, *arguments):
        command = [str(BUILD / "bin" / "bergamotpaddlectl"), "--settings", str(self.ctl_settings()), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)

    def ctl_json(self, *arguments):
        return json.loads(self.ctl(*arguments, "--output", "json").stdout)

    def all_links_up(self):
        """Returns whether every router is connected to every agent."""
        states = [self.router_status(index) for index in range(len(self.routers))]
        return all(agent["up"] for state in states for agent in state["agents"])

    def router_status(self, index):
        return self.admin(self.routers[index], "/admin/status").json()

    @staticmethod
    def admin(base, path):
        return http_call(base + path, headers={"Authorization": "Bearer " + SECRET})

    @staticmethod
    def wait_until(condition, seconds=READY_TIMEOUT_SECONDS):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException, ValueError):
                pass
            time.sleep(0.05)
        raise TimeoutError(f"the expected state was not reached within {seconds} s")

    def chat(self, router, account, text, max_tokens=16, key=None, stream=False, timeout=60):
        headers = {"Authorization": f"Bearer demo-{account}", "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        body = {
            "model": next(iter(self.configuration["models"])),
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return http_call(self.routers[router] + "/v1/chat/completions", "POST", body, headers, timeout)

    def call(self, router, account, service, path, body, key=None, timeout=60):
        headers = {"Authorization": f"Bearer demo-{account}", "Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        return http_call(f"{self.routers[router]}/v1/services/{service}{path}", "POST", body, headers, timeout)

    def runs(self, urls=None):
        """Returns the runs that the upstream stand-ins executed."""
        return [run for url in urls or self.engines + self.services for run in http_call(url + "/runs").json()["runs"]]

    def inject_faults(self, url, **faults):
        return http_call(url + "/faults", "POST", faults)

    def charged(self, account):
        """Returns the tokens billed to an account, according to the key-value service."""
        return self.ctl_json("budget", "show", account).get("charged", 0)

    def kill(self, name, signal_number=signal.SIGKILL):
        self.processes[name].signal(signal_number)

    def stop(self):
        daemons = [process for process in self.processes.values() if process.role in ("router", "agent")]
        # Routers stop first, because they settle charges with the agents while stopping.
        for role in ("router", "agent"):
            stopping = [process for process in daemons if process.role == role]
            for process in stopping:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGTERM)
            for process in stopping:
                self._wait_or_kill(process)
        for process in self.processes.values():
            process.signal(signal.SIGTERM)
        for process in self.processes.values():
            self._wait_or_kill(process)

    @staticmethod
    def _wait_or_kill(process):
        try:
            process.wait(15)
        except subprocess.TimeoutExpired:
            process.signal(signal.SIGKILL)
            process.wait(5)

    def describe(self):
        return {
            "routers": self.routers,
            "agents": self.agents,
            "kv": self.kv,
            "engines": self.engines,
            "services": self.services,
            "ctl_settings": str(self.ctl_settings()),
            "processes": [{"name": p.name, "role": p.role, "pid": p.pid} for p in self.processes.values()],
        }


def merge_patch(target, patch):
    """Applies a JSON merge patch (RFC 7396) to `target` in place."""
    for name, value in patch.items():
        if isinstance(value, dict) and isinstance(target.get(name), dict):
            merge_patch(target[name], value)
        elif value is None:
            target.pop(name, None)
        else:
            target[name] = value
