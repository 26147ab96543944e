"""Operators enter services first and their first models later, one after the other."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

from engine_server import MODEL, whole_stream
from harness import (
    KEEPERS,
    Deployment,
    Record,
    has_trouble,
    make_config,
    request,
    run_case,
    wait_for,
)

N_SERVICES = 16
FIRST_SERVER = 151
SERVER_PORT = 8080
# Ends by themselves on one machine, and such machines, that the rule counts.
ENDS_OF_A_MACHINE = 3
MACHINES_OF_THREE = 2
RESTART_AFTER_S = 0.3
# Time for which a client asks again.
PATIENCE_S = 3.0
# Time after which no further service is entered.
LENGTH_S = 80.0


class Engine:
    """An empty model server of one service."""

    def __init__(self, deployment: Deployment, number: int, service: str):
        self.id, self.service = f"i-{number}", service
        self.host = deployment.ip(number)
        self.zone = ("capital", "banda", "termas")[number % 3]
        self.state = deployment.folder / f"engine-{number}.jsonl"
        self.state.touch()
        program = Path(__file__).resolve().parent.parent / "lib2" / "engine_server.py"
        self.supervisor = deployment.start_child(
            program, self.host, str(SERVER_PORT), self.id, str(self.state), "0", "empty"
        )

    def read(self) -> list[dict]:
        """Return what the server has written so far."""
        lines = self.state.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def entry(self) -> bytes:
        """Return the server's entry of the list."""
        states = [each for each in self.read() if each["event"] in ("started", "holds")]
        models = [
            {"name": name, "version": 1, "adapters": []}
            for name in states[-1]["models"]
        ]
        entry = {
            "id": self.id,
            "service": self.service,
            "address": f"{self.host}:{SERVER_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "prefill_decode",
            "models": models,
            "born": states[0]["born"],
        }
        return json.dumps(entry).encode()


def make_service(name: str, has_model: bool) -> dict:
    """Return a service of the config."""
    model = {
        "name": MODEL,
        "weightsMb": 16100.0,
        "loadTimeS": 1.2,
        "adapters": 0,
        "adapterSizeMb": 14.0,
        "warmS": 0.27,
        "diskS": 0.35,
    }
    engine = {
        "slots": 96,
        "kvCacheTokens": 207195,
        "kvTokenBytes": 131072,
        "linkMbps": 1100000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "cap": 12,
        "hostMb": 53000.0,
        "diskMb": 160000.0,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handle_s": 5.0,
        "models": [model] if has_model else [],
        "weightsMb": 83000.0,
        "maxAdapters": 8,
        "loadsPerS": 1.1,
    }
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 520,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def make_route(name: str) -> dict:
    """Return the route of a service."""
    return {
        "name": f"r-{name}",
        "pathPrefix": f"/{name}/",
        "kind": "streaming",
        "timeoutMs": 15000,
        "targetLatencyMs": 2000,
        "service": name,
        "maxAttempts": 1,
        "sticky": True,
        "gapTargetMs": 400,
    }


class Watcher(threading.Thread):
    """Restarts keepers that have ended, as the platform does, and counts the ends."""

    def __init__(self, record: Record, deployment: Deployment):
        super().__init__()
        self._record, self._deployment = record, deployment
        self.stopping = threading.Event()
        self.n_ends = dict.fromkeys(KEEPERS, 0)

    def count_machines(self) -> int:
        """Return on how many machines keepers ended as often as the rule says."""
        return sum(n_ends >= ENDS_OF_A_MACHINE for n_ends in self.n_ends.values())

    def run(self) -> None:
        """Watch until stopped."""
        while not self.stopping.wait(0.02):
            for number in KEEPERS:
                if not self._deployment.is_running("keeper", number):
                    self.n_ends[number] += 1
                    status = self._deployment.status("keeper", number)
                    self._record.write(
                        "keeper_ended_by_itself",
                        keeper=number,
                        exit_status=status,
                        ends=self.n_ends[number],
                    )
                    time.sleep(RESTART_AFTER_S)
                    self._deployment.start("keeper", number)


def run(record: Record) -> bool:
    """Run the case; return whether keepers ended by themselves as often as the rule says."""
    with Deployment(record) as deployment:
        names = [f"servicio-{number}" for number in range(N_SERVICES)]
        engines = [
            Engine(deployment, FIRST_SERVER + number, name)
            for number, name in enumerate(names)
        ]
        for engine in engines:
            wait_for(engine.read, "a server", 10)
        deployment.list.entries = lambda: [engine.entry() for engine in engines]
        version = 1
        deployment.start_all(
            make_config(
                [make_service("servicio-x", True)], [make_route("servicio-x")], version
            )
        )
        watcher = Watcher(record, deployment)
        watcher.start()
        n_served = n_requests = 0
        until_s = time.monotonic() + LENGTH_S
        try:
            for number, name in enumerate(names):
                if (
                    watcher.count_machines() >= MACHINES_OF_THREE
                    or time.monotonic() > until_s
                ):
                    break
                n_requests += 1
                # The service is entered; the disruption is that its model comes later.
                for has_model in (False, True) if has_trouble() else (True,):
                    version += 3
                    known = [make_service(each, True) for each in names[:number]]
                    services = [*known, make_service(name, has_model)]
                    deployment.put_config(
                        make_config(
                            services,
                            [make_route(each["name"]) for each in services],
                            version,
                        )
                    )
                    if not has_model:
                        time.sleep(1.5)
                headers = {
                    "Model-Id": MODEL,
                    "Token-Count": "628,52",
                    "Prompt-Prefix": f"5c1e07a2:119,{number:08x}:509",
                }
                n_served += send_until_served(record, deployment, number, name, headers)
        finally:
            watcher.stopping.set()
            watcher.join()
        n_machines = watcher.count_machines()
        record.write(
            "counted",
            ends=sum(watcher.n_ends.values()),
            machines_with_three=n_machines,
            services=n_requests,
            served=n_served,
        )
        return n_machines >= MACHINES_OF_THREE


def send_until_served(
    record: Record, deployment: Deployment, number: int, name: str, headers: dict
) -> bool:
    """Send a request right after the acknowledgement, and again while it is refused."""
    until_s = time.monotonic() + PATIENCE_S
    count = 0
    while time.monotonic() < until_s:
        request_id = f"{number:08x}{count:08x}"
        answer = request(
            deployment.ip(KEEPERS[number % 3]),
            "POST",
            f"/{name}/1",
            request_id,
            15000,
            headers,
            b"x" * 1700,
        )
        is_whole = answer.status == 200 and answer.body == whole_stream(request_id)
        record.write(
            "answered",
            request=request_id,
            service=name,
            status=answer.status,
            whole=is_whole,
        )
        if is_whole:
            return True
        count += 1
        time.sleep(max(0.5, float(answer.headers.get("retry-after", 0))))
    return False


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, run)
