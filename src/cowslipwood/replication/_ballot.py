"""The ballot file: a replica's identity, term and vote, synced to disk."""

import random
from pathlib import Path
from typing import NamedTuple

import orjson

from ._errors import DataDamagedError
from ._files import read_checksummed, replace_checksummed

__all__ = ["Ballot", "load_ballot", "save_ballot"]

_FILE_NAME = "ballot"
_ID_RANDOM_BITS = 48


class Ballot(NamedTuple):
    """The state that a replica must keep across restarts, besides its log.

    Parameters
    ----------
    replica_id : str
        The keeper's name and a random part drawn when the folder was empty, so
        that a keeper whose disk was lost becomes a different replica.
    term : int
        The newest term seen.
    voted_for : str
        Identity of the replica it voted for in the term; empty for no vote.
    has_log : bool
        Whether other replicas may know of an entry that this replica stores.
    """

    replica_id: str
    term: int
    voted_for: str
    has_log: bool = False


def load_ballot(folder: Path, name: str, rng: random.Random) -> Ballot:
    """Read the ballot, or create it in a folder without a ballot and a log.

    Raises
    ------
    DataDamagedError
        When the ballot is damaged or belongs to another keeper, or when only one of
        ballot and log is there.
    """
    data = read_checksummed(folder / _FILE_NAME)
    if data is not None:
        ballot = Ballot(**orjson.loads(data))
        keeper_name = ballot.replica_id.rpartition(".")[0]
        if keeper_name != name:
            raise DataDamagedError(
                f"{folder} belongs to keeper {keeper_name}, not {name}"
            )
        if ballot.has_log and not _has_log_files(folder):
            raise DataDamagedError(f"the log in {folder} is missing")
        return ballot
    if _has_log_files(folder):
        raise DataDamagedError(f"{folder / _FILE_NAME} is missing")
    ballot = Ballot(f"{name}.{rng.getrandbits(_ID_RANDOM_BITS):012x}", 0, "")
    save_ballot(folder, ballot)
    return ballot


def _has_log_files(folder: Path) -> bool:
    return any(folder.glob("*.log")) or any(folder.glob("*.snapshot"))


def save_ballot(folder: Path, ballot: Ballot) -> None:
    """Replace the file and sync it."""
    replace_checksummed(folder / _FILE_NAME, orjson.dumps(ballot._asdict()))
