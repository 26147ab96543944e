"""The small synced file with a replica's identity, term and vote."""

import random
from pathlib import Path
from typing import NamedTuple

import orjson

from ._errors import DataDamagedError
from ._files import read_checked, replace_checked

__all__ = ["Ballot", "load_ballot", "save_ballot"]

_NAME = "ballot"
_RANDOM_BITS = 48


class Ballot(NamedTuple):
    """What a replica may never forget.

    Parameters
    ----------
    replica_id : str
        The keeper's name and a random part drawn when the folder was empty, so
        that a keeper whose disk was lost is another replica.
    term : int
    voted_for : str
        Whom it voted for in the term; empty for nobody.
    has_log : bool
        Whether it has told anyone of an entry that it holds.
    """

    replica_id: str
    term: int
    voted_for: str
    has_log: bool = False


def load_ballot(folder: Path, name: str, rng: random.Random) -> Ballot:
    """Read the ballot, or make one in a folder that holds nothing else.

    Raises
    ------
    DataDamagedError
        When the file is damaged or another keeper's, or when the file or the log
        is missing beside the other.
    """
    data = read_checked(folder / _NAME)
    if data is not None:
        ballot = Ballot(**orjson.loads(data))
        held = ballot.replica_id.rpartition(".")[0]
        if held != name:
            raise DataDamagedError(f"{folder} belongs to keeper {held}, not {name}")
        if ballot.has_log and not _holds_log(folder):
            raise DataDamagedError(f"the log in {folder} is missing")
        return ballot
    if _holds_log(folder):
        raise DataDamagedError(f"{folder / _NAME} is missing")
    ballot = Ballot(f"{name}.{rng.getrandbits(_RANDOM_BITS):012x}", 0, "")
    save_ballot(folder, ballot)
    return ballot


def _holds_log(folder: Path) -> bool:
    return any(folder.glob("*.log")) or any(folder.glob("*.snapshot"))


def save_ballot(folder: Path, ballot: Ballot) -> None:
    """Replace the file and sync it."""
    replace_checked(folder / _NAME, orjson.dumps(ballot._asdict()))
