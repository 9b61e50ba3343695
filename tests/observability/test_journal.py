"""Tests of the journal."""

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import RequestId
from mangoway.observability.journal import (
    DecisionKind,
    Journal,
    JournalEntry,
    JournalQuery,
)


def make_entry(number: int, artifact: str = "chat@1") -> JournalEntry:
    return JournalEntry(
        at=float(number),
        kind=DecisionKind.REQUEST,
        reason="chosen",
        request=RequestId(f"r{number}"),
        artifact=Artifact.parse(artifact),
    )


class TestJournal:
    """Tests of adding and finding decisions."""

    def test_oldest_entries_are_dropped(self) -> None:
        journal = Journal(capacity=2)
        for number in range(3):
            journal.add(make_entry(number))
        assert [entry.at for entry in journal.find(JournalQuery())] == [1, 2]

    def test_query_by_request_and_model(self) -> None:
        journal = Journal()
        journal.add(make_entry(0, "chat@1"))
        journal.add(make_entry(1, "chat@2"))
        journal.add(make_entry(2, "draft@1"))
        by_request = journal.find(JournalQuery(request=RequestId("r1")))
        assert [entry.at for entry in by_request] == [1]
        assert len(journal.find(JournalQuery(model="chat"))) == 2
        assert len(journal.find(JournalQuery(model="chat@2"))) == 1

    def test_limit_returns_the_latest(self) -> None:
        journal = Journal()
        for number in range(4):
            journal.add(make_entry(number))
        assert [entry.at for entry in journal.find(JournalQuery(limit=2))] == [2, 3]
