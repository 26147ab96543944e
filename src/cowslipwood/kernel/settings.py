"""Settings records filled from flags and ``COWSLIP_*`` environment variables.

Each program has one settings ``NamedTuple`` whose numpydoc docstring gives the
help texts and whose `checks` say what is allowed. A flag goes before its
environment variable, which goes before the default.
"""

import inspect
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, NoReturn

from .codes import CODE_INFO, Code

__all__ = [
    "Check",
    "address",
    "at_least",
    "exit_with",
    "load_settings",
    "one_of",
    "optional_address",
    "parse_address",
    "peer_list",
    "within",
]

ENV_PREFIX = "COWSLIP_"
SHARED = frozenset(
    ("cluster_token", "operator_token", "allow_no_token", "keepers", "zone")
)
_SECRETS = ("token",)


class Check(NamedTuple):
    """A condition on one setting.

    Parameters
    ----------
    allowed : str
        What is allowed, for the error message.
    holds : callable
        Returns whether a value is allowed.
    """

    allowed: str
    holds: Callable[[Any], bool]


def at_least(low: float) -> Check:
    """Allow numbers from `low` up."""
    return Check(f"a number of {low} or more", lambda value: value >= low)


def within(low: float, high: float) -> Check:
    """Allow numbers from `low` to `high`."""
    return Check(f"a number from {low} to {high}", lambda value: low <= value <= high)


def one_of(*choices: str) -> Check:
    """Allow the listed words."""
    return Check("one of " + ", ".join(choices), lambda value: value in choices)


def parse_address(text: str) -> tuple[str, int]:
    """Split ``ip:port``.

    Raises
    ------
    ValueError
        When the text is not an IP number and a port.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"expected ip:port, got {text!r}")
    return host.strip("[]"), int(port)


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def address() -> Check:
    """Allow ``ip:port``."""
    return Check("ip:port with a port from 0 to 65535", _is_address)


def optional_address() -> Check:
    """Allow ``ip:port`` or nothing."""
    return Check("ip:port, or empty", lambda text: not text or _is_address(text))


def peer_list() -> Check:
    """Allow a comma-separated list of ``ip:port``."""
    return Check(
        "ip:port, with commas between several",
        lambda text: all(_is_address(part) for part in text.split(",")),
    )


def exit_with(code: Code, message: str) -> NoReturn:
    """Print a numbered error and end the process with the code's exit status."""
    print(f"error {code.value} {code.name}: {message}", file=sys.stderr)
    sys.exit(CODE_INFO[code].exit_status)


def load_settings(
    record: type,
    checks: Mapping[str, Check],
    environ: Mapping[str, str],
    argv: Sequence[str],
) -> Any:
    """Return a checked settings record, or end the process.

    Parameters
    ----------
    record : type
        A ``NamedTuple`` class with a default for each optional setting.
    checks : mapping of str to Check
        Conditions by field name.
    environ : mapping of str to str
        The process environment.
    argv : sequence of str
        Flags, without the program's name.

    Raises
    ------
    SystemExit
        With the exit status of BAD_SETTING or UNKNOWN_SETTING.
    """
    # Programs that get their settings elsewhere start without the command line.
    import defopt

    from_env = _env_flags(record, environ)
    try:
        settings = defopt.run(_as_function(record), argv=[*from_env, *argv])
    except SystemExit as exc:
        if exc.code in (0, None):
            raise
        exit_with(Code.BAD_SETTING, "see the line above, or --help")
    for name, check in checks.items():
        value = getattr(settings, name)
        if not check.holds(value):
            shown = "(hidden)" if name.endswith(_SECRETS) else repr(value)
            flag = name.replace("_", "-")
            exit_with(
                Code.BAD_SETTING,
                f"--{flag} ({ENV_PREFIX}{name.upper()}) is {shown}; "
                f"allowed: {check.allowed}",
            )
    return settings


def _as_function(record: type) -> Callable[..., Any]:
    """Return a function with the record's fields as keyword-only parameters."""

    def build(**fields: Any) -> Any:
        return record(**fields)

    defaults = record._field_defaults
    parameters = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            annotation=kind,
            default=defaults.get(name, inspect.Parameter.empty),
        )
        for name, kind in record.__annotations__.items()
    ]
    build.__signature__ = inspect.Signature(parameters)
    build.__annotations__ = dict(record.__annotations__)
    build.__doc__ = record.__doc__
    return build


def _env_flags(record: type, environ: Mapping[str, str]) -> list[str]:
    """Turn the environment's settings into flags.

    A variable in ``SHARED`` may stand in the environment of every program and
    is passed over by those that have no such setting.
    """
    flags = []
    for variable, value in sorted(environ.items()):
        if not variable.startswith(ENV_PREFIX):
            continue
        name = variable.removeprefix(ENV_PREFIX).lower()
        kind = record.__annotations__.get(name)
        if kind is None and name in SHARED:
            continue
        if kind is None:
            known = ", ".join(ENV_PREFIX + field.upper() for field in record._fields)
            exit_with(Code.UNKNOWN_SETTING, f"{variable} is not known; known: {known}")
        flag = name.replace("_", "-")
        if kind is bool:
            flags.append(_bool_flag(variable, flag, value))
        else:
            flags.append(f"--{flag}={value}")
    return flags


def _bool_flag(variable: str, flag: str, value: str) -> str:
    if value.lower() in ("1", "true", "yes", "on"):
        return f"--{flag}"
    if value.lower() in ("0", "false", "no", "off", ""):
        return f"--no-{flag}"
    exit_with(Code.BAD_SETTING, f"{variable} is {value!r}; allowed: true or false")
