"""Runs the stand-in of a model server as a process under a supervisor.

    python3 engine_process.py SETTINGS

SETTINGS is JSON: `ip`, `port`, `down_s` and the parameters of `Engine`. The supervisor
holds the listening socket and starts the server again, under the same id and empty,
`down_s` seconds after it has ended. Lines on standard output tell what happens.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib3.engine import Engine


class _Output:
    """Writes what a record would get to standard output."""

    def write(self, text: str) -> None:
        """Write one line at once."""
        os.write(1, (text + "\n").encode())


async def _run(sock: socket.socket, parameters: dict[str, Any]) -> None:
    output = _Output()
    engine = Engine(output, **parameters)
    await engine.start(sock)
    output.write(f"started {os.getpid()} {engine.born}")
    await asyncio.Event().wait()


def main() -> None:
    """Supervise the server."""
    parameters = json.loads(sys.argv[1])
    port, down_s = parameters.pop("port"), parameters.pop("down_s")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((parameters["ip"], port))
    sock.listen(128)
    child = 0

    def end(*_: object) -> None:
        if child:
            os.kill(child, signal.SIGKILL)
        os._exit(0)

    signal.signal(signal.SIGTERM, end)
    while True:
        child = os.fork()
        if not child:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            asyncio.run(_run(sock, parameters))
        os.waitpid(child, 0)
        _Output().write("ended")
        parameters["models"] = []
        time.sleep(down_s)


if __name__ == "__main__":
    main()
