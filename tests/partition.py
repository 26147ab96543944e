"""A network between keepers that can hold all data without closing a connection."""

import contextlib
import re
import socket
import threading
from typing import Any

from .keepers import KeeperCluster
from .processes import free_port

__all__ = ["PartitionedCluster"]

# Largest number of bytes that a proxy forwards at once.
CHUNK_BYTES = 65_536
# Matches the name in the replica id that a keeper sends in its first message.
KEEPER_ID_PATTERN = re.compile(rb"(k[0-9]+)\.[0-9a-f]{12}")


class _PartitionableNetwork:
    """Records which keepers are isolated from the others."""

    def __init__(self):
        self._changed = threading.Condition()
        self._isolated_names: set[str] = set()
        self._is_closed = False

    def isolate_keepers(self, *names: str) -> None:
        """Hold the data between these keepers and the others; with no names, none."""
        with self._changed:
            self._isolated_names = set(names)
            self._changed.notify_all()

    def close(self) -> None:
        """Let all held data pass, so that every connection can end."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def wait_for_route(self, source: str, target: str) -> None:
        """Wait while one of two keepers is isolated from the other."""
        with self._changed:
            self._changed.wait_for(lambda: self._has_route(source, target))

    def _has_route(self, source: str, target: str) -> bool:
        is_same_side = (source in self._isolated_names) == (
            target in self._isolated_names
        )
        return self._is_closed or not source or is_same_side


class _Proxy:
    """Forwards the connections to one keeper."""

    def __init__(self, network: _PartitionableNetwork, name: str, port: int):
        self._network = network
        self._name = name
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.addr = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no further connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(client,), daemon=True
                ).start()

    def _serve(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError), client:
            first_chunk = client.recv(CHUNK_BYTES)
            found = KEEPER_ID_PATTERN.search(first_chunk)
            source_name = found.group(1).decode() if found else ""
            self._network.wait_for_route(source_name, self._name)
            with socket.create_connection(("127.0.0.1", self._port)) as server:
                server.sendall(first_chunk)
                reply_thread = threading.Thread(
                    target=self._forward,
                    args=(server, client, source_name),
                    daemon=True,
                )
                reply_thread.start()
                self._forward(client, server, source_name)
                reply_thread.join()

    def _forward(self, source: Any, target: Any, source_name: str) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self._network.wait_for_route(source_name, self._name)
                target.sendall(data)
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)


class PartitionedCluster(KeeperCluster):
    """Three keepers that reach each other through proxies."""

    def __init__(self, *flags: str):
        super().__init__(*flags)
        self.network = _PartitionableNetwork()
        self.listens = {name: f"127.0.0.1:{free_port()}" for name in self.addresses}
        self._proxies = {
            name: _Proxy(self.network, name, int(listen.rpartition(":")[2]))
            for name, listen in self.listens.items()
        }
        self.set_addresses({name: proxy.addr for name, proxy in self._proxies.items()})

    def __exit__(self, *exc_info: object) -> None:
        """End the processes and the proxies."""
        self.network.close()
        super().__exit__(*exc_info)
        for proxy in self._proxies.values():
            proxy.close()
