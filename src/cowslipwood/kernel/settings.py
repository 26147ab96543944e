"""Fills settings records from flags and ``COWSLIP_*`` environment variables.

Each program has one settings ``NamedTuple`` whose numpydoc docstring contains the
help texts, and a mapping of checks that say which values are allowed. A flag takes
precedence over its environment variable, which takes precedence over the default.
"""

import inspect
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, NoReturn

from .codes import CODE_INFO, Code
from .counts import parse_count

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
# Settings of several programs. Their environment variables may be set for every
# program; those that have no such setting ignore them.
SHARED_SETTINGS = frozenset(
    ("cluster_token", "operator_token", "allow_no_token", "keepers", "zone")
)
# Endings of the names of settings whose values are not printed.
_SECRET_SUFFIXES = ("token",)


class Check(NamedTuple):
    """A condition on one setting.

    Parameters
    ----------
    description : str
        The allowed values in words, for the error message.
    is_allowed : callable
        Function that takes a value and returns whether it is allowed.
    """

    description: str
    is_allowed: Callable[[Any], bool]


def at_least(minimum: float) -> Check:
    """Allow numbers that are not less than `minimum`."""
    return Check(f"a number of {minimum} or more", lambda value: value >= minimum)


def within(minimum: float, maximum: float) -> Check:
    """Allow numbers from `minimum` to `maximum`."""
    return Check(
        f"a number from {minimum} to {maximum}",
        lambda value: minimum <= value <= maximum,
    )


def one_of(*choices: str) -> Check:
    """Allow the given choices."""
    return Check("one of " + ", ".join(choices), lambda value: value in choices)


def parse_address(text: str) -> tuple[str, int]:
    """Split ``ip:port`` into the IP address, without brackets, and the port.

    Raises
    ------
    ValueError
        When the text does not have this form.
    """
    host, _, port = text.rpartition(":")
    port_number = parse_count(port)
    if not host or port_number is None or port_number > 65535:
        raise ValueError(f"expected ip:port, got {text[:60]!r}")
    return host.strip("[]"), port_number


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
    """Allow ``ip:port`` or an empty text."""
    return Check("ip:port, or empty", lambda text: not text or _is_address(text))


def peer_list() -> Check:
    """Allow ``ip:port``, or several separated by commas."""
    return Check(
        "ip:port, separated by commas",
        lambda text: all(_is_address(part) for part in text.split(",")),
    )


def exit_with(code: Code, message: str) -> NoReturn:
    """Print an error with its code and end the process with the code's exit status."""
    print(f"error {code.value} {code.name}: {message}", file=sys.stderr)
    sys.exit(CODE_INFO[code].exit_status)


def load_settings(
    settings_type: type,
    checks: Mapping[str, Check],
    environ: Mapping[str, str],
    argv: Sequence[str],
) -> Any:
    """Return a checked settings record, or end the process with an error.

    Parameters
    ----------
    settings_type : type
        A ``NamedTuple`` class with a default for each optional setting.
    checks : mapping of str to Check
        Conditions by field name.
    environ : mapping of str to str
        Environment variables.
    argv : sequence of str
        Flags, without the program's name.

    Returns
    -------
    object
        An instance of `settings_type`.

    Raises
    ------
    SystemExit
        With the exit status of BAD_SETTING or UNKNOWN_SETTING.
    """
    # Imported here because programs that get their settings in another way do not
    # need it and start faster without it.
    import defopt

    from_env = _flags_from_env(settings_type, environ)
    try:
        settings = defopt.run(
            _as_keyword_function(settings_type), argv=[*from_env, *argv]
        )
    except SystemExit as exc:
        if exc.code in (0, None):
            raise
        exit_with(Code.BAD_SETTING, "see the line above, or --help")
    for name, check in checks.items():
        value = getattr(settings, name)
        if not check.is_allowed(value):
            shown_value = "(hidden)" if name.endswith(_SECRET_SUFFIXES) else repr(value)
            flag = name.replace("_", "-")
            exit_with(
                Code.BAD_SETTING,
                f"--{flag} ({ENV_PREFIX}{name.upper()}) is {shown_value}; "
                f"allowed: {check.description}",
            )
    return settings


def _as_keyword_function(settings_type: type) -> Callable[..., Any]:
    """Return a function with the record's fields as keyword-only parameters."""

    def build_record(**fields: Any) -> Any:
        return settings_type(**fields)

    defaults = settings_type._field_defaults
    parameters = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            annotation=annotation,
            default=defaults.get(name, inspect.Parameter.empty),
        )
        for name, annotation in settings_type.__annotations__.items()
    ]
    build_record.__signature__ = inspect.Signature(parameters)
    build_record.__annotations__ = dict(settings_type.__annotations__)
    build_record.__doc__ = settings_type.__doc__
    return build_record


def _flags_from_env(settings_type: type, environ: Mapping[str, str]) -> list[str]:
    """Return the flags that have the meaning of the environment's variables.

    Variables of `SHARED_SETTINGS` that the record does not have are ignored.
    """
    flags = []
    for variable, value in sorted(environ.items()):
        if not variable.startswith(ENV_PREFIX):
            continue
        name = variable.removeprefix(ENV_PREFIX).lower()
        annotation = settings_type.__annotations__.get(name)
        if annotation is None and name in SHARED_SETTINGS:
            continue
        if annotation is None:
            known_variables = ", ".join(
                ENV_PREFIX + field.upper() for field in settings_type._fields
            )
            exit_with(
                Code.UNKNOWN_SETTING,
                f"{variable} is not known; known: {known_variables}",
            )
        flag = name.replace("_", "-")
        if annotation is bool:
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
