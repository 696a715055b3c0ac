"""Read a settings file and report every mistake in it at once."""

from gentianlink.core.operator_settings import OperatorSettings
from gentianlink.core.settings import Settings
from gentianlink.parser.settings_checks import validate_settings
from gentianlink.parser.settings_sections import load_file, parse_sections


def parse_settings(text, source):
    """Parse the text of a node's settings file.

    Parameters
    ----------
    text : str
        INI text.
    source : str
        Name of the file for messages.

    Returns
    -------
    settings : Settings or None
        The settings, None if there is a mistake.
    problems : list of Problem
        Every mistake found.
    """
    settings, problems = parse_sections(text, source, Settings)
    if settings is not None:
        problems = validate_settings(settings, source)
    return (None if problems else settings), problems


def parse_operator_settings(text, source):
    """Parse the text of the command line's settings file.

    Parameters
    ----------
    text : str
        INI text.
    source : str
        Name of the file for messages.

    Returns
    -------
    settings : OperatorSettings or None
        The settings, None if there is a mistake.
    problems : list of Problem
        Every mistake found.
    """
    return parse_sections(text, source, OperatorSettings)


def load_settings(path):
    """Read and check a node's settings file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    Settings
        Checked settings.

    Raises
    ------
    SettingsInvalid
        If the file can't be read or has mistakes.
    """
    return load_file(path, parse_settings)


def load_operator_settings(path):
    """Read and check the command line's settings file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    OperatorSettings
        Checked settings.

    Raises
    ------
    SettingsInvalid
        If the file can't be read or has mistakes.
    """
    return load_file(path, parse_operator_settings)
