"""Catalogue entries and edits."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Success

from cowslipwood.catalogue import (
    Edit,
    EditOp,
    apply_edit,
    catalogue_from_json,
    catalogue_to_json,
    empty_catalogue,
    entry_to_json,
    parse_entry,
)

from .builders import adapter_value, model_value, service_value

CASES = settings(derandomize=True, deadline=None, max_examples=200)
MAX_MEMORY_BYTES = 10_000_000

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
names = st.sampled_from(["m1", "m2", "a1", "a2", "s1"])


@st.composite
def edits(draw):
    """Return one edit on a handful of names."""
    name = draw(names)
    if draw(st.booleans()):
        op, entry = EditOp.DELETE, None
    else:
        op = EditOp.PUT
        version = draw(st.sampled_from(["1", "2"]))
        match name[0]:
            case "m":
                size = draw(st.sampled_from([1_000_000, 99_000_000]))
                value = model_value(name, memory_bytes=size, version=version)
            case "a":
                value = adapter_value(name, draw(names), version=version)
            case _:
                value = service_value(name, version=version)
        entry = parse_entry(value).unwrap()
    edit_id = draw(st.sampled_from([f"e{i}" for i in range(12)]))
    expect = draw(st.sampled_from([-1, -1, 0, 1, 2]))
    return Edit(edit_id, op, name, entry, expect, "operator", 0)


class TestParseEntry(unittest.TestCase):
    """An entry is accepted whole or refused by field name."""

    @CASES
    @given(json_values)
    def test_rubbish(self, value):
        """Any JSON value gives a result and raises nothing."""
        self.assertIsInstance(parse_entry(value), Success | Err)

    @CASES
    @given(st.sampled_from(sorted(model_value())), json_values)
    def test_one_wrong_field(self, field, value):
        """A refusal names the field; an acceptance reads back the same."""
        parsed = parse_entry({**model_value(), field: value})
        if isinstance(parsed, Err):
            self.assertRegex(parsed.failure().message, field + "|base")
        else:
            entry = parsed.unwrap()
            self.assertEqual(parse_entry(entry_to_json(entry)), Success(entry))

    def test_unknown_limit(self):
        """An unknown limit is refused by its name."""
        parsed = parse_entry(model_value(limits={"speed": 1}))
        self.assertIn("limits.speed", parsed.failure().message)


class TestApplyEdit(unittest.TestCase):
    """Edits keep the catalogue's rules, whatever their order."""

    @CASES
    @given(st.lists(edits(), max_size=25))
    def test_rules(self, sequence):
        """Refusals change nothing; bases stay; revisions rise by one."""
        catalogue = empty_catalogue()
        for edit in sequence:
            before = catalogue_to_json(catalogue)
            applied = apply_edit(catalogue, edit, MAX_MEMORY_BYTES)
            if isinstance(applied, Err):
                self.assertEqual(catalogue_to_json(catalogue), before)
            for entry in catalogue.entries.values():
                self.assertTrue(not entry.base or entry.base in catalogue.entries)
                self.assertLessEqual(entry.memory_bytes, MAX_MEMORY_BYTES)
            revisions = [item.revision for item in catalogue.history]
            self.assertEqual(revisions, list(range(1, len(revisions) + 1)))

    @CASES
    @given(st.lists(edits(), max_size=25), edits())
    def test_resend_and_snapshot(self, sequence, last):
        """A snapshot restores the same state; a resent edit changes nothing."""
        catalogue = empty_catalogue()
        for edit in sequence:
            apply_edit(catalogue, edit, MAX_MEMORY_BYTES)
        first = apply_edit(catalogue, last, MAX_MEMORY_BYTES)
        restored = catalogue_from_json(catalogue_to_json(catalogue))
        self.assertEqual(restored, catalogue)
        if isinstance(first, Success):
            again = apply_edit(restored, last, MAX_MEMORY_BYTES)
            self.assertEqual(again, first)
            self.assertEqual(restored, catalogue)

    def test_snapshot_after_the_last_adapter_is_deleted(self):
        """A base whose adapters are gone restores to the same state."""
        catalogue = empty_catalogue()
        for value in (model_value("m1"), adapter_value("a1", "m1")):
            entry = parse_entry(value).unwrap()
            edit = Edit(entry.name, EditOp.PUT, entry.name, entry, -1, "operator", 0)
            apply_edit(catalogue, edit, MAX_MEMORY_BYTES).unwrap()
        delete = Edit("e3", EditOp.DELETE, "a1", None, -1, "operator", 0)
        apply_edit(catalogue, delete, MAX_MEMORY_BYTES).unwrap()
        self.assertEqual(catalogue_from_json(catalogue_to_json(catalogue)), catalogue)
