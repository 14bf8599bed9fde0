"""Settings of daemons and commands, from flags and the environment."""

from __future__ import annotations

import os
from typing import Annotated
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import pydantic
import pydantic_settings

from damaskpin import errors

if TYPE_CHECKING:
    from collections.abc import Mapping

ENV_PREFIX = 'DAMASKPIN_'
LIST_SETTINGS = ('seeds', 'entries')
# Variables that only tests and the demo read; daemons ignore them.
NON_DAEMON_VARIABLES = ('DAMASKPIN_FUZZ',)

Name = Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]
PeerAddress = Annotated[
    str, pydantic.Field(pattern=r'^tcp://[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$')
]
HttpUrl = Annotated[str, pydantic.Field(pattern=r'^https?://[^\s/]+$')]
# Lists are comma-separated in variables as well as flags, so pydantic must not
# decode the variables as JSON.
UrlList = Annotated[list[HttpUrl], pydantic_settings.NoDecode]
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]


class BaseSettings(pydantic_settings.BaseSettings):
    """Base of all settings, read from flags and environment variables."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENV_PREFIX, extra='forbid', frozen=True
    )

    @pydantic.field_validator(
        *LIST_SETTINGS, mode='before', check_fields=False
    )
    @classmethod
    def _split_lists(cls, value: Any) -> Any:
        return _split_list(value)


class ClientSettings(BaseSettings):
    """Settings of the commands that call an entry."""

    entries: UrlList = pydantic.Field(
        ['http://127.0.0.1:8080'],
        min_length=1,
        description='URLs of the entries or of their balancer',
    )
    token: pydantic.SecretStr = pydantic.Field(
        pydantic.SecretStr(''),
        description='token of the client account or of the operators; '
        'set it in the environment, so that no process list shows it',
    )


class CommonSettings(BaseSettings):
    """Settings shared by entries and agents."""

    instance: Name = pydantic.Field(
        description='name of this process, unique in the fleet'
    )
    region: Name = pydantic.Field(description='region of this process')
    data_centre: Name = pydantic.Field(
        description='data centre of this process'
    )
    listen: PeerAddress = pydantic.Field(
        description='address for other damaskpin processes, tcp://IP:PORT'
    )
    http_host: str = pydantic.Field(
        '127.0.0.1', description='IP address of the HTTP server'
    )
    http_port: Port = pydantic.Field(description='port of the HTTP server')
    seeds: UrlList = pydantic.Field(
        [], description='URLs of the balancer in front of the entries'
    )
    fleet_key: pydantic.SecretStr = pydantic.Field(
        min_length=16,
        description='secret shared by all damaskpin processes',
    )
    log_level: str = pydantic.Field(
        'INFO',
        pattern='^(DEBUG|INFO|WARNING|ERROR)$',
        description='least severe level that is logged',
    )
    otlp_endpoint: str = pydantic.Field(
        '', description='URL for OTLP metrics; empty for none'
    )
    operator_token_sha256: str = pydantic.Field(
        '',
        pattern='^([0-9a-f]{64})?$',
        description="SHA-256 of the operators' token; empty refuses operators",
    )
    drain_timeout: float = pydantic.Field(
        30.0,
        ge=0,
        le=3600,
        description='seconds that a planned stop waits for work in progress',
    )


class EntrySettings(CommonSettings):
    """Settings of an entry."""

    store: HttpUrl = pydantic.Field(description="URL of the platform's store")
    max_requests: int = pydantic.Field(
        2000,
        ge=1,
        le=100_000,
        description='service requests in progress at the same time',
    )
    max_jobs: int = pydantic.Field(
        20_000,
        ge=1,
        le=1_000_000,
        description='jobs that this entry owns at the same time',
    )


class AgentSettings(CommonSettings):
    """Settings of an agent."""

    rack: Name = pydantic.Field(description='rack of the worker')
    worker: Name = pydantic.Field(description='name of the worker')
    worker_url: HttpUrl = pydantic.Field(
        description="URL of the worker's task interface"
    )
    accelerators: int = pydantic.Field(
        ge=0, le=1024, description='accelerators of the worker'
    )


SettingsT = TypeVar('SettingsT', bound=BaseSettings)


def load_settings(
    declaration: type[SettingsT], flags: Mapping[str, Any]
) -> SettingsT:
    """Load and validate settings; flags override environment variables.

    :param declaration: typed declaration of the settings.
    :param flags: values of the command line, by setting name.
    :returns: the validated settings.
    :raises damaskpin.errors.SettingsError: if a setting is unknown, missing
        or out of range; the text names flag, variable, value and range.
    """
    fields = declaration.model_fields
    problems = [
        f'unknown flag {_format_flag(name)}'
        for name in flags
        if name not in fields
    ]
    known = {_format_variable(name) for name in _list_all_fields()}
    for variable in sorted(os.environ):
        if variable.startswith(ENV_PREFIX) and variable not in known | {
            *NON_DAEMON_VARIABLES
        }:
            problems.append(f'unknown variable {variable}')
    if problems:
        raise errors.SettingsError('; '.join(problems))
    try:
        return declaration(**flags)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            '; '.join(
                _describe_problem(declaration, problem)
                for problem in error.errors()
            )
        ) from error
    except pydantic_settings.SettingsError as error:
        raise errors.SettingsError(f'{error}') from error


def describe_settings(declaration: type[BaseSettings]) -> str:
    """Return flag, variable, meaning and range of each setting as text.

    :param declaration: typed declaration of the settings.
    """
    lines = []
    for name, field in declaration.model_fields.items():
        default = (
            'required' if field.is_required() else f'default {field.default!r}'
        )
        lines.append(
            f'  {_format_flag(name)}, {_format_variable(name)}\n'
            f'      {field.description} ({default}; '
            f'{_describe_range(declaration, name)})'
        )
    return '\n'.join(lines)


def _split_list(value: Any) -> Any:
    # fire parses "a,b" as a tuple, but leaves a single value as a string.
    match value:
        case '':
            return []
        case str():
            return value.split(',')
        case tuple():
            return list(value)
    return value


def _list_all_fields() -> set[str]:
    # Variables of all roles are known: several daemons on a host may share one
    # environment.
    return (
        set(EntrySettings.model_fields)
        | set(AgentSettings.model_fields)
        | set(ClientSettings.model_fields)
    )


def _format_flag(name: str) -> str:
    return '--' + name.replace('_', '-')


def _format_variable(name: str) -> str:
    return ENV_PREFIX + name.upper()


def _describe_problem(declaration: type[BaseSettings], problem: Any) -> str:
    name = str(problem['loc'][0])
    text = f'{_format_flag(name)} ({_format_variable(name)}): {problem["msg"]}'
    if problem['type'] == 'missing':
        return text
    value = '***' if name in ('fleet_key', 'token') else repr(problem['input'])
    return (
        f'{text}; value {value}, allowed {_describe_range(declaration, name)}'
    )


def _describe_range(declaration: type[BaseSettings], name: str) -> str:
    schema = declaration.model_json_schema()['properties'][name]
    schema = schema.get('items', schema)
    low, high = schema.get('minimum'), schema.get('maximum')
    if low is not None and high is not None:
        return f'{low} to {high}'
    if 'pattern' in schema:
        return f'text matching {schema["pattern"]}'
    if 'minLength' in schema:
        return f'at least {schema["minLength"]} characters'
    return str(schema.get('type', 'any value'))
