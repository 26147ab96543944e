"""A plain service under a supervisor that holds its port, as socket activation does.

    plain_server.py HOST PORT STATE

Each worker is an incarnation of the server with an id of its own. When a worker ends,
the supervisor starts the next one at once. The file STATE gets a line of JSON for each
start: id, process id and birth. A worker answers GET and POST with 200 and a body of
eight parts, 40 ms apart and without a length: the answer ends with its connection.
"""

import json
import os
import socket
import sys
import threading
import time

N_PARTS = 8


def part(request_id: str, number: int) -> bytes:
    """Return one of the parts of an answer's body."""
    return f"{request_id}:part-{number}-of-{N_PARTS};".ljust(100, ".").encode()


def whole_body(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    return b"".join(part(request_id, number) for number in range(1, N_PARTS + 1))


def serve(conn: socket.socket, server_id: str, log) -> None:
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
                data += conn.recv(65_536)
            data = data[n_bytes:]
            request_id = headers.get("request-id", "")
            echo = f"Request-Id: {request_id}\r\n" if request_id else ""
            if headers.get("expect-instance", server_id) != server_id:
                conn.sendall(
                    f"HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n".encode()
                )
                continue
            if line.split()[1] == "/health":
                conn.sendall(
                    f"HTTP/1.1 200 OK\r\nInstance-Id: {server_id}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                continue
            log("run", request=request_id, server=server_id)
            seal = f"Response-Seal: {server_id}.{request_id}\r\n"
            conn.sendall(
                f"HTTP/1.1 200 OK\r\n{echo}{seal}Connection: close\r\n\r\n".encode()
            )
            for number in range(1, N_PARTS + 1):
                conn.sendall(part(request_id, number))
                log("sent", request=request_id, part=number)
                time.sleep(0.04)
            conn.shutdown(socket.SHUT_WR)
            log("answered", request=request_id, server=server_id)
            conn.recv(65_536)
            return
    except OSError:
        return
    finally:
        conn.close()


def work(listener: socket.socket, server_id: str, state: str) -> None:
    """Serve as one incarnation until killed."""
    file = open(state, "a")  # noqa: SIM115

    def log(event: str, **fields) -> None:
        file.write(json.dumps({"event": event, **fields}) + "\n")
        file.flush()

    log("started", id=server_id, pid=os.getpid(), born=int(time.time() * 1000))
    while True:
        conn, _ = listener.accept()
        threading.Thread(target=serve, args=(conn, server_id, log), daemon=True).start()


def main() -> None:
    """Start one worker after the other."""
    host, port, state = sys.argv[1:]
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(128)
    number = 0
    while True:
        number += 1
        pid = os.fork()
        if pid == 0:
            work(listener, f"i-{host.rpartition('.')[2]}-{number}", state)
        os.waitpid(pid, 0)


if __name__ == "__main__":
    main()
