"""Service documents are checked with every fault named at its place."""

import pytest

from fescuerudder.document import dump_document, parse_document
from fescuerudder.errors import DocumentError

GOOD = {"name": "draw", "team": "secretariat", "kind": "batch", "size": {"processors": 2}}


def test_document_survives_a_round_trip():
    doc = parse_document(GOOD)
    assert parse_document(dump_document(doc)) == doc


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"unknown": 1}, "unknown"),
        ({"size": {"gpu": 1}}, "$.size"),
        ({"size": {"processors": "2"}}, "$.size.processors"),
        ({"size": {"processors": float("nan")}}, "$.size.processors"),
        ({"size": {}}, "$.size"),
        ({"name": "Not A Name"}, "$.name"),
        ({"kind": "cron"}, "$.kind"),
        ({"replicas": 3}, "$.replicas"),
        ({"objective": {"target": 1.5}}, "$.objective.target"),
        ({"outage_run_s": -1}, "$.outage_run_s"),
        ({"outage_run_s": 86_401}, "$.outage_run_s"),
        ({"urgent": "yes"}, "$.urgent"),
    ],
)
def test_faults_are_named_with_their_place(change, place):
    with pytest.raises(DocumentError) as caught:
        parse_document({**GOOD, **change})
    assert any(place in problem for problem in caught.value.problems)


@pytest.mark.parametrize("raw", [None, [], "text", 3])
def test_other_shapes_are_refused(raw):
    with pytest.raises(DocumentError):
        parse_document(raw)
