"""A model server under a supervisor that holds its port.

    engine_server.py HOST PORT ID STATE CLOCK_MS [empty]

Each worker is an incarnation of the server, under the same id. When a worker ends, the
supervisor starts the next one at once; only the first one holds the model, unless ``empty`` is given. CLOCK_MS is
the difference of this machine's time of day from that of the others. The file STATE
gets a line of JSON for each start, each change of the models and each event that was
sent. Streams have no
length: they end with their connection.
"""

import json
import os
import socket
import sys
import threading
import time

MODEL = "m-16b"
N_EVENTS = 13
EVENT_PAUSE_S = 0.03
LOAD_S = 1.2


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id} token {number} of {N_EVENTS}\n\n".encode()


def whole_stream(request_id: str) -> bytes:
    """Return all events of the stream of a request."""
    return b"".join(event(request_id, number) for number in range(1, N_EVENTS + 1))


class Engine:
    """One incarnation of the server."""

    def __init__(self, server_id: str, models: list[str], clock_ms: float, state: str):
        self.id = server_id
        self.models = models
        self.born = int(time.time() * 1000 + clock_ms)
        self.sequence = 0
        self.is_busy = False
        self.running: dict[str, int] = {}
        self._file = open(state, "a")  # noqa: SIM115
        self.log(
            "started", pid=os.getpid(), born=self.born, models=models, at=time.time()
        )

    def log(self, name: str, **fields) -> None:
        """Write a line into the state's file."""
        self._file.write(json.dumps({"event": name, **fields}) + "\n")
        self._file.flush()

    def report(self) -> dict:
        """Return what the server says of itself."""
        models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        runs = [
            [request_id, 9000, made, 1]
            for request_id, made in list(self.running.items())
        ]
        return {
            "stage": "prefill_decode",
            "models": models,
            "busy": self.is_busy,
            "sequence": self.sequence,
            "queued": 0,
            "running": len(runs),
            "kvUsed": 9000 * len(runs),
            "kvTotal": 207195,
            "handles": 0,
            "born": self.born,
            "state": "ready",
            "pending": [],
            "runs": runs,
        }

    def order(self, value: dict) -> int:
        """Take an order; return the status of the answer."""
        if self.is_busy or value.get("expect", self.sequence) != self.sequence:
            return 409
        if value["operation"] == "load" and value["model"] in self.models:
            return 200
        self.sequence += 1
        self.is_busy = True
        threading.Thread(target=self._carry_out, args=(value,), daemon=True).start()
        return 202

    def _carry_out(self, value: dict) -> None:
        time.sleep(LOAD_S)
        if value["operation"] == "load":
            self.models = [*self.models, value["model"]]
        else:
            self.models = [name for name in self.models if name != value["model"]]
        self.is_busy = False
        self.log("holds", models=self.models, at=time.time())

    def serve(self, conn: socket.socket) -> None:
        """Answer the requests of one connection."""
        data = b""
        try:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                while b"\r\n\r\n" not in data:
                    got = conn.recv(65_536)
                    if not got:
                        return
                    data += got
                head, _, data = data.partition(b"\r\n\r\n")
                line, *lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for text in lines:
                    name, _, value = text.partition(":")
                    headers[name.lower()] = value.strip()
                n_bytes = int(headers.get("content-length", 0))
                while len(data) < n_bytes:
                    got = conn.recv(65_536)
                    if not got:
                        return
                    data += got
                body, data = data[:n_bytes], data[n_bytes:]
                if not self.answer(conn, line, headers, body):
                    return
        except OSError:
            return
        finally:
            conn.close()

    def answer(
        self, conn: socket.socket, line: str, headers: dict, body: bytes
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        request_id = headers.get("request-id", "")
        echo = f"Request-Id: {request_id}\r\n" if request_id else ""
        if headers.get("expect-instance", self.id) != self.id:
            conn.sendall(f"HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n".encode())
            return True
        path = line.split()[1]
        if path in ("/cowslipwood/report", "/cowslipwood/order", "/health"):
            status, value = 200, {}
            if path == "/cowslipwood/report":
                value = self.report()
            elif path == "/cowslipwood/order":
                status = self.order(json.loads(body))
            text = json.dumps(value).encode()
            conn.sendall(
                f"HTTP/1.1 {status} X\r\nInstance-Id: {self.id}\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                + text
            )
            return True
        if headers.get("model-id") not in self.models:
            conn.sendall(f"HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n".encode())
            return True
        self.log("run", request=request_id)
        self.running[request_id] = 0
        seal = f"Response-Seal: {self.id}.{request_id}\r\n"
        conn.sendall(
            f"HTTP/1.1 200 OK\r\n{echo}{seal}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nServer-Load: 1,0,96\r\nConnection: close\r\n\r\n".encode()
        )
        for number in range(1, N_EVENTS + 1):
            conn.sendall(event(request_id, number))
            self.running[request_id] = number
            self.log("sent", request=request_id, part=number)
            time.sleep(EVENT_PAUSE_S)
        del self.running[request_id]
        self.log("answered", request=request_id)
        conn.shutdown(socket.SHUT_WR)
        conn.recv(65_536)
        return False


def work(listener: socket.socket, engine: Engine) -> None:
    """Serve as one incarnation until killed."""
    while True:
        conn, _ = listener.accept()
        threading.Thread(target=engine.serve, args=(conn,), daemon=True).start()


def main() -> None:
    """Start one worker after the other."""
    host, port, server_id, state, clock_ms, *is_empty = sys.argv[1:]
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(128)
    models = [] if is_empty else [MODEL]
    while True:
        pid = os.fork()
        if pid == 0:
            work(listener, Engine(server_id, models, float(clock_ms), state))
        os.waitpid(pid, 0)
        models = []


if __name__ == "__main__":
    main()
