"""Sessions that run the project's checks in environments of their own."""

import nox

nox.options.sessions = ['lint', 'types', 'tests']

_PACKAGES = (
    'packages/bluebellslip',
    'packages/bluebellslip-node',
    'packages/bluebellslip-cli',
    'packages/bluebellslip-lab',
    'platform',
)
_SOURCES = ('packages', 'platform', 'tests', 'bench')


def _install(session: nox.Session) -> None:
    session.install('--requirement', 'requirements.lock')
    for package in _PACKAGES:
        session.install(
            '--no-deps', '--no-build-isolation', '--editable', package
        )


@nox.session
def lint(session: nox.Session) -> None:
    """Check the format and run the linters."""
    _install(session)
    session.run('ruff', 'format', '--check', *_SOURCES)
    session.run('ruff', 'check', *_SOURCES)
    session.run('flake8', *_SOURCES)


@nox.session
def types(session: nox.Session) -> None:
    """Check the types."""
    _install(session)
    session.run('mypy', 'packages', 'platform', 'bench')


@nox.session
def tests(session: nox.Session) -> None:
    """Run the tests."""
    _install(session)
    session.run('pytest', *session.posargs)
