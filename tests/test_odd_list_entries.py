"""Lists of servers in which another writer has left an odd entry."""

import unittest
from typing import Any

import anyio
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipwood.kernel.json_entries import load_with_entries
from cowslipwood.kernel.wire import encode_record
from cowslipwood.listing import HttpServerList, ListedServer, to_server_view

from .direct_builders import always_send, build_answer, run_scripted_server
from .test_platform_adapter import adapter_module

SOUND_IDS = ["i-1", "i-2"]
DEEP = "[" * 3_000 + "]" * 3_000


def platform_entry(**changes: Any) -> dict[str, Any]:
    """Return an entry of the platform's list."""
    entry = {
        "id": "i-0",
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
        "state": "ready",
    }
    return {**entry, **changes}


def own_entry(**changes: Any) -> dict[str, Any]:
    """Return an entry of a list in the project's own format."""
    entry = {
        "server_id": "i-0",
        "service": "llm",
        "addr": "10.0.0.1:80",
        "zone": "z",
        "n_slots": 4,
    }
    return {**entry, **changes}


# Raw entries, without their closing brace, that a decoder rejects.
UNDECODABLE_TAILS = (
    f',"more":{DEEP}}}',
    ',"more":1e999}',
    ',"more":"\\ud800"}',
    ',"more":01}',
    ',"more":nothing}',
)

# An entry that a writer may break off after any byte.
WHOLE_ENTRY = (
    '{"name":"s","text":"a \\"b\\", [c]","models":[{"name":"m"},{"name":"n","a":[1]}]}'
)
# Raw entries whose quotes or brackets are not balanced.
UNBALANCED_ENTRIES = (
    '{"id":"i-9","service":"ll',
    '{"id":"i-9","service":"llm"',
    '{"id":"i-9","models":[{"name":"m"}',
    '{"id":"i-9","models":[',
    '{"id":"i-9","service":"llm"}}',
    '{"id":"i-9","service":"llm"}]',
    '{"id":"i-9","service":"llm\\',
    'id":"i-9","service":"llm"}',
    '{"id":"i-9","service":llm"}',
    '"',
    "{",
    "]",
    "",
)


def read_list(source_type: Any, entries: list[str], name: str) -> list[ListedServer]:
    """Return what a list source reads from a server with these raw entries."""
    body = f'{{"{name}":[{",".join(entries)}],"next":null}}'.encode("utf-8", "replace")

    async def main() -> list[ListedServer]:
        answer = build_answer(body, request_id="")
        async with run_scripted_server(always_send(answer)) as (addr, _):
            return (await source_type(addr).read()).unwrap()

    return anyio.run(main)


def dump(entry: dict[str, Any]) -> str:
    """Return an entry as JSON text."""
    return orjson.dumps(entry).decode()


class OddEntryTest(unittest.TestCase):
    """Each odd entry is left out; the sound ones before and after it are read."""

    def _check(self, odd: str, source_type: Any, name: str, sound: list[str]) -> None:
        with self.subTest(odd=odd[:60], name=name):
            servers = read_list(source_type, [sound[0], odd, sound[1]], name)
            self.assertEqual([server.server_id for server in servers], SOUND_IDS)
            for server in servers:
                encode_record(to_server_view(server, ()))

    def _check_platform(self, odd: str) -> None:
        sound = [dump(platform_entry(id=server_id)) for server_id in SOUND_IDS]
        source_type = adapter_module("_list").PlatformList
        self._check(odd, source_type, "instances", sound)

    def _check_own(self, odd: str) -> None:
        sound = [dump(own_entry(server_id=server_id)) for server_id in SOUND_IDS]

        def build_source(addr: str) -> HttpServerList:
            return HttpServerList(f"http://{addr}/list")

        self._check(odd, build_source, "servers", sound)

    # One odd entry kept every reader from following the list.
    def test_entry_that_cannot_be_decoded_is_left_out(self):
        """Deep nesting, a number too large or a bad character costs one entry."""
        for tail in UNDECODABLE_TAILS:
            self._check_platform(dump(platform_entry())[:-1] + tail)
            self._check_own(dump(own_entry())[:-1] + tail)

    # A record that broke off in the middle hid every server, also the leaving ones.
    def test_unbalanced_entry_is_left_out(self):
        """An entry whose quotes or brackets are not closed costs one entry."""
        for odd in UNBALANCED_ENTRIES:
            self._check_platform(odd)
            self._check_own(odd)

    # A number or an address out of its range ended the processes that read the list.
    def test_entry_with_values_out_of_range_is_left_out(self):
        """No entry is read that a message or a connection could not carry."""
        for slots in (2**31, 2**63, -1, 10**30):
            odd = dump(platform_entry(slots=0)).replace('"slots":0', f'"slots":{slots}')
            self._check_platform(odd)
            odd = dump(own_entry(n_slots=0)).replace('slots":0', f'slots":{slots}')
            self._check_own(odd)
        for addr in (
            "10.0.0.1:99999",
            "10.0.0.1:0",
            "10.0.0.1:²",
            "10.0.0.1:" + "9" * 5_000,
            "host.example:80",
            "\x00:80",
            "a" * 80 + ":80",
            "",
        ):
            self._check_platform(dump(platform_entry(address=addr)))
            self._check_own(dump(own_entry(addr=addr)))
        for server_id in ("a\r\nx: 1", "x" * 10_000, "ñ", " i"):
            self._check_platform(dump(platform_entry(id=server_id)))
            self._check_own(dump(own_entry(server_id=server_id)))


class LoadWithEntriesTest(unittest.TestCase):
    """Documents whose entries are decoded one by one."""

    def test_strings_with_brackets(self):
        """Brackets, commas and quotes inside strings do not split an entry."""
        data = b'{ "n" : "]}" , "e" : [ {"a":"],\\"}"} , 1e999 , [1,2] ] }'
        expected = {"n": "]}", "e": [{"a": '],"}'}, [1, 2]]}
        self.assertEqual(load_with_entries(data, "e"), expected)

    # Quotes that are missing in two entries hid all entries between them.
    @given(
        st.lists(
            st.none() | st.integers(1, len(WHOLE_ENTRY) - 1), min_size=1, max_size=7
        )
    )
    @settings(max_examples=500, deadline=None, derandomize=True)
    def test_entries_that_break_off(self, lengths):
        """All whole entries are read, wherever and however many others break off."""
        entries = [
            dump({"id": f"i-{number}"}) if length is None else WHOLE_ENTRY[:length]
            for number, length in enumerate(lengths)
        ]
        data = f'{{"e":[{",".join(entries)}],"next":"p-]"}}'.encode()
        value = load_with_entries(data, "e")
        self.assertEqual(value["next"], "p-]")
        whole = [{"id": f"i-{n}"} for n, length in enumerate(lengths) if length is None]
        self.assertEqual([entry for entry in value["e"] if "id" in entry], whole)

    # A part of a broken entry could have been taken for a server.
    def test_parts_of_broken_entries(self):
        """An object inside an entry that cannot be decoded is not an entry."""
        for broken in ('{"a":[{"b":1},{"id":"x"}],"c":nothing}', '{"a":[1,{"id":2}]x}'):
            data = f'{{"e":[{broken},{{"id":"i"}}],"next":null}}'.encode()
            self.assertEqual(load_with_entries(data, "e")["e"], [{"id": "i"}])

    def test_broken_documents(self):
        """A document that breaks off, or holds no list, is refused as a whole."""
        for data in (
            b"",
            b"[]",
            b'{"e":3}',
            b'{"e":[1e999',
            b'{"e":[1e999]}}',
            b'{"e":[1e999],"f":1e999}',
            b'{"e":[1e999],}',
            b'{"f":[]}',
            b'{"e":[{"m":[1]}',
            b'{"e":[{"a":1},{"m":[1]}',
        ):
            with self.subTest(data=data), self.assertRaises(ValueError):
                load_with_entries(data, "e")
