"""Stand-in of a plain server under a supervisor: reads of a register.

    python3 plain_server.py IP PORT ID DOWN_S

The supervisor starts the server, and starts it again under the same id and at the same
address DOWN_S seconds after it has ended. Each answer has no length and ends with its
connection; the server writes it in parts. Lines on standard output tell of each start,
run and part.
"""

import os
import signal
import socket
import sys
import threading
import time

N_PARTS = 4
PART_PAUSE_S = 0.03
N_LINES = 12


def make_body(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    lines = [
        f"{request_id} family {n:03} rations {n % 7} route {n % 5}\n"
        for n in range(N_LINES)
    ]
    return "".join(lines).encode()


def say(text: str) -> None:
    """Write one line, at once and as a whole."""
    os.write(1, (text + "\n").encode())


def _read_head(conn: socket.socket) -> tuple[str, dict[str, str]] | None:
    data = b""
    while b"\r\n\r\n" not in data:
        part = conn.recv(65_536)
        if not part:
            return None
        data += part
    line, *lines = data.split(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
    pairs = (text.partition(":") for text in lines)
    return line, {name.lower(): value.strip() for name, _, value in pairs}


def _serve(conn: socket.socket, server_id: str, born: int) -> None:
    with conn:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while True:
            try:
                received = _read_head(conn)
            except OSError:
                return
            if received is None:
                return
            line, headers = received
            wanted = headers.get("expect-instance", server_id)
            request_id = headers.get("request-id", "")
            common = f"Instance-Id: {server_id}\r\n"
            if request_id:
                common += f"Request-Id: {request_id}\r\n"
            if wanted != server_id:
                conn.sendall(
                    f"HTTP/1.1 421 X\r\n{common}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
                )
                continue
            if line.split()[1] == "/health":
                conn.sendall(
                    f"HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n".encode()
                )
                continue
            say(f"run {request_id}")
            body = make_body(request_id)
            seal = f"{server_id}.{born}.{len(body)}"
            head = f"HTTP/1.1 200 OK\r\n{common}Response-Seal: {seal}\r\nConnection: close\r\n\r\n"
            size = -(-len(body) // N_PARTS)
            try:
                for number in range(N_PARTS):
                    part = body[number * size : (number + 1) * size]
                    conn.sendall((head.encode() if not number else b"") + part)
                    say(f"part {number + 1} {request_id}")
                    if number < N_PARTS - 1:
                        time.sleep(PART_PAUSE_S)
            except OSError:
                say(f"gone {request_id}")
                return
            say(f"whole {request_id}")
            return


def _run(ip: str, port: int, server_id: str) -> None:
    born = int(time.time() * 1000)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(128)
    say(f"started {os.getpid()} {born}")
    while True:
        conn, _ = listener.accept()
        threading.Thread(
            target=_serve, args=(conn, server_id, born), daemon=True
        ).start()


def main() -> None:
    """Supervise the server."""
    ip, port, server_id, down_s = (
        sys.argv[1],
        int(sys.argv[2]),
        sys.argv[3],
        float(sys.argv[4]),
    )
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
            _run(ip, port, server_id)
        os.waitpid(child, 0)
        say("ended")
        time.sleep(down_s)


if __name__ == "__main__":
    main()
