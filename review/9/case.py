"""The last tenant is taken out of the config, and its key is used on."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

import harness
from harness import (
    KEEPERS,
    CannotRunError,
    Deployment,
    Record,
    has_trouble,
    make_config,
    request,
    run_case,
)

# Bounds of the sheet of hnitvangur-kort-grown.
harness.BOUNDS.update(
    {
        "configApplyMs": 2500,
        "revokeStrict": True,
        "revokeMs": 5000,
        "quotaWindowS": 8,
        "quotaOverage": 0.1,
        "quotaSlack": 110000,
    }
)
REVOKE_S = harness.BOUNDS["revokeMs"] / 1000
SERVICE = "skraning"
KEY, NEVER_HELD_KEY = "k-51d8a2", "k-000000"
N_REQUESTS = 12


def run(record: Record) -> bool:
    """Run the case; return whether a request with a key that was taken away runs."""
    with Deployment(record) as deployment:
        entries, logs = [], []
        program = Path(__file__).resolve().parent.parent / "lib2" / "ledger_server.py"
        for number in (101, 102, 103):
            host, server_id = deployment.ip(number), f"i-{number}"
            log = deployment.folder / f"{server_id}.jsonl"
            log.touch()
            logs.append(log)
            deployment.start_child(program, host, "8080", server_id, str(log))
            zone = ("capital", "banda", "termas")[number % 3]
            entries.append(
                json.dumps(
                    {
                        "id": server_id,
                        "service": SERVICE,
                        "address": f"{host}:8080",
                        "zone": zone,
                        "version": "v1",
                        "slots": 6,
                        "state": "ready",
                        "coldRemainingMs": 0,
                        "born": int(time.time() * 1000),
                    }
                ).encode()
            )
        deployment.list.entries = lambda: entries
        services = [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConnections": 230,
                "protocol": "h1",
                "tls": False,
            }
        ]
        routes = [
            {
                "name": "filing",
                "pathPrefix": "/filing/",
                "kind": "unsafe",
                "timeoutMs": 1613,
                "targetLatencyMs": 215,
                "service": SERVICE,
                "maxAttempts": 1,
            }
        ]
        tenant = {
            "name": "notary-1",
            "apiKeys": [KEY],
            "priority": 1,
            "ratePerS": 0,
            "burst": 0,
            "unit": "token_stream",
            "plainTokens": 100,
        }
        config = make_config(services, routes)
        deployment.start_all({**config, "tenants": [tenant]})
        send(record, deployment, "before", KEY)
        # Without the disruption the tenant stays, with another key.
        left = [] if has_trouble() else [{**tenant, "apiKeys": ["k-9f30c7"]}]
        deployment.put_config({**config, "version": 8, "tenants": left})
        record.write("key_taken_away", tenants=len(left))
        time.sleep(REVOKE_S + 1.0)
        send(record, deployment, "after", KEY)
        send(record, deployment, "never-held", NEVER_HELD_KEY)
        return judge(
            record,
            [json.loads(line) for log in logs for line in log.read_text().splitlines()],
        )


def send(record: Record, deployment: Deployment, name: str, key: str) -> None:
    """Send requests with a key."""
    for number in range(N_REQUESTS):
        request_id = f"{name}-{number}"
        entry = KEEPERS[number % len(KEEPERS)]
        answer = request(
            deployment.ip(entry),
            "POST",
            "/filing/1",
            request_id,
            1613,
            {"Credential": key},
            b"x" * 600,
        )
        record.write("answered", request=request_id, status=answer.status)


def judge(record: Record, runs: list[dict]) -> bool:
    """Count the requests that ran and the keys that were passed on."""
    revoked = [each for each in runs if each["request"].startswith("after-")]
    never_held = [each for each in runs if each["request"].startswith("never-held-")]
    passed_on = [each for each in runs if each["credential"]]
    before = [each for each in runs if each["request"].startswith("before-")]
    for each in (*revoked[:3], *never_held[:3]):
        record.write(
            "run",
            request=each["request"],
            credential=each["credential"],
            tenant=each["tenant"],
        )
    record.write(
        "counted",
        ran_before=len(before),
        ran_with_revoked_key=len(revoked),
        ran_with_key_never_held=len(never_held),
        keys_passed_on=len(passed_on),
    )
    if len(before) < N_REQUESTS:
        raise CannotRunError("requests with a valid key were not served")
    return bool(revoked or never_held or passed_on)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, run)
