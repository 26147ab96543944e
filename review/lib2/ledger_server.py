"""A plain service that records a delivery for each request.

    ledger_server.py HOST PORT ID LOG

The file LOG gets a line of JSON for each request that reaches the server. A request
runs for 45 ms and is answered with 200 and a body of 800 bytes with its length.
"""

import json
import socket
import sys
import threading
import time

WORK_S = 0.045
IDLE_S = 5.0


def whole_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return f"recorded {request_id};".ljust(800, ".").encode()


def serve(conn: socket.socket, server_id: str, log) -> None:
    """Answer the requests of one connection."""
    data = b""
    try:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.settimeout(IDLE_S)
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
            data = data[n_bytes:]
            request_id = headers.get("request-id", "")
            echo = f"Request-Id: {request_id}\r\n" if request_id else ""
            keep = f"Keep-Alive: timeout={int(IDLE_S)}\r\n"
            if headers.get("expect-instance", server_id) != server_id:
                conn.sendall(
                    f"HTTP/1.1 421 X\r\n{echo}{keep}Content-Length: 0\r\n\r\n".encode()
                )
                continue
            if line.split()[1] == "/health":
                conn.sendall(
                    f"HTTP/1.1 200 OK\r\n{keep}Instance-Id: {server_id}\r\nContent-Length: 0\r\n\r\n".encode()
                )
                continue
            log(request_id, headers)
            time.sleep(WORK_S)
            body = whole_body(request_id)
            seal = f"Response-Seal: {server_id}.{request_id}\r\n"
            conn.sendall(
                f"HTTP/1.1 200 OK\r\n{echo}{seal}{keep}Server-Load: 1,0,6\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
    except OSError:
        return
    finally:
        conn.close()


def main() -> None:
    """Serve until killed."""
    host, port, server_id, path = sys.argv[1:]
    file = open(path, "a")  # noqa: SIM115

    def log(request_id: str, headers: dict) -> None:
        credential, tenant = headers.get("credential", ""), headers.get("tenant-id", "")
        fields = {
            "request": request_id,
            "at": time.time(),
            "credential": credential,
            "tenant": tenant,
        }
        file.write(json.dumps(fields) + "\n")
        file.flush()

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(128)
    while True:
        conn, _ = listener.accept()
        threading.Thread(target=serve, args=(conn, server_id, log), daemon=True).start()


if __name__ == "__main__":
    main()
