"""Checks of catalogue entries, and edits of the catalogue."""

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

fixed_examples = settings(derandomize=True, deadline=None, max_examples=200)
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
def draw_edit(draw):
    """Return an edit of one of a few names."""
    name = draw(names)
    if draw(st.booleans()):
        op, entry = EditOp.DELETE, None
    else:
        op = EditOp.PUT
        version = draw(st.sampled_from(["1", "2"]))
        match name[0]:
            case "m":
                memory_bytes = draw(st.sampled_from([1_000_000, 99_000_000]))
                value = model_value(name, memory_bytes=memory_bytes, version=version)
            case "a":
                value = adapter_value(name, draw(names), version=version)
            case _:
                value = service_value(name, version=version)
        entry = parse_entry(value).unwrap()
    edit_id = draw(st.sampled_from([f"e{number}" for number in range(12)]))
    expect_revision = draw(st.sampled_from([-1, -1, 0, 1, 2]))
    return Edit(edit_id, op, name, entry, expect_revision, "operator", 0)


class TestParseEntry(unittest.TestCase):
    """An entry is accepted, or refused with the name of a wrong field."""

    @fixed_examples
    @given(json_values)
    def test_any_json_value(self, value):
        """Any JSON value gives a result, never an exception."""
        self.assertIsInstance(parse_entry(value), Success | Err)

    @fixed_examples
    @given(st.sampled_from(sorted(model_value())), json_values)
    def test_one_wrong_field(self, field, value):
        """A refusal names the field; an accepted entry survives a round trip."""
        parse_result = parse_entry({**model_value(), field: value})
        if isinstance(parse_result, Err):
            self.assertRegex(parse_result.failure().message, field + "|base")
        else:
            entry = parse_result.unwrap()
            self.assertEqual(parse_entry(entry_to_json(entry)), Success(entry))

    def test_unknown_limit(self):
        """The refusal of an unknown limit names it."""
        parse_result = parse_entry(model_value(limits={"speed": 1}))
        self.assertIn("limits.speed", parse_result.failure().message)


class TestApplyEdit(unittest.TestCase):
    """Edits in any order keep the catalogue consistent."""

    @fixed_examples
    @given(st.lists(draw_edit(), max_size=25))
    def test_edits_keep_invariants(self, edits):
        """Refused edits change nothing, bases remain, revisions increase by one."""
        catalogue = empty_catalogue()
        for edit in edits:
            value_before = catalogue_to_json(catalogue)
            result = apply_edit(catalogue, edit, MAX_MEMORY_BYTES)
            if isinstance(result, Err):
                self.assertEqual(catalogue_to_json(catalogue), value_before)
            for entry in catalogue.entries.values():
                self.assertTrue(not entry.base or entry.base in catalogue.entries)
                self.assertLessEqual(entry.memory_bytes, MAX_MEMORY_BYTES)
            revisions = [item.revision for item in catalogue.history]
            self.assertEqual(revisions, list(range(1, len(revisions) + 1)))

    @fixed_examples
    @given(st.lists(draw_edit(), max_size=25), draw_edit())
    def test_resent_edit_after_snapshot(self, edits, last_edit):
        """A restored snapshot is equal, and a resent edit does not change it."""
        catalogue = empty_catalogue()
        for edit in edits:
            apply_edit(catalogue, edit, MAX_MEMORY_BYTES)
        first_result = apply_edit(catalogue, last_edit, MAX_MEMORY_BYTES)
        restored = catalogue_from_json(catalogue_to_json(catalogue))
        self.assertEqual(restored, catalogue)
        if isinstance(first_result, Success):
            second_result = apply_edit(restored, last_edit, MAX_MEMORY_BYTES)
            self.assertEqual(second_result, first_result)
            self.assertEqual(restored, catalogue)

    def test_snapshot_after_last_adapter_is_deleted(self):
        """A snapshot with a base whose adapters were deleted restores equal."""
        catalogue = empty_catalogue()
        for value in (model_value("m1"), adapter_value("a1", "m1")):
            entry = parse_entry(value).unwrap()
            edit = Edit(entry.name, EditOp.PUT, entry.name, entry, -1, "operator", 0)
            apply_edit(catalogue, edit, MAX_MEMORY_BYTES).unwrap()
        delete = Edit("e3", EditOp.DELETE, "a1", None, -1, "operator", 0)
        apply_edit(catalogue, delete, MAX_MEMORY_BYTES).unwrap()
        self.assertEqual(catalogue_from_json(catalogue_to_json(catalogue)), catalogue)
