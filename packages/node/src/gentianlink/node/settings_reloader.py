"""Reload the settings file while the node runs."""

import attrs

from gentianlink.core.setting_fields import RELOADABLE
from gentianlink.node.log import get_logger
from gentianlink.node.reload_report import ReloadReport
from gentianlink.parser.settings_file import load_settings

_LOG = get_logger("settings")


class SettingsReloader:
    """Applies changed settings that don't need a restart.

    Parameters
    ----------
    path : pathlib.Path
        Settings file.
    settings : Settings
        Settings in force.
    on_changed : callable
        Called with the settings after any of them changed.
    """

    def __init__(self, path, settings, on_changed):
        self._path = path
        self._settings = settings
        self._on_changed = on_changed

    @property
    def settings(self):
        """Settings in force."""
        return self._settings

    def reload(self):
        """Read the file again and apply the settings that don't need a restart.

        Returns
        -------
        ReloadReport
            What is in force now, and what needs a restart.

        Raises
        ------
        SettingsInvalid
            If the file has mistakes; no setting changes.
        """
        new = load_settings(self._path)
        report = compare_settings(self._settings, new)
        if report.applied:
            self._settings = _apply_reloadable(self._settings, new)
            self._on_changed(self._settings)
        _LOG.info(
            "settings read again",
            applied=report.applied,
            needs_restart=report.needs_restart,
        )
        return report


def compare_settings(old, new):
    """Return which settings differ, by whether they need a restart.

    Parameters
    ----------
    old, new : Settings
        Settings.

    Returns
    -------
    ReloadReport
        Changed keys.
    """
    applied = []
    needs_restart = []
    for section, field in _iterate_fields(old):
        old_value = getattr(getattr(old, section), field.name)
        new_value = getattr(getattr(new, section), field.name)
        if old_value == new_value:
            continue
        keys = applied if field.metadata[RELOADABLE] else needs_restart
        keys.append(f"{section}.{field.name}")
    return ReloadReport(tuple(applied), tuple(needs_restart))


def _iterate_fields(settings):
    for section in attrs.fields(type(settings)):
        for field in attrs.fields(section.type):
            yield section.name, field


def _apply_reloadable(old, new):
    sections = {}
    for section, field in _iterate_fields(old):
        if field.metadata[RELOADABLE]:
            value = getattr(getattr(new, section), field.name)
            base = sections.get(section, getattr(old, section))
            sections[section] = attrs.evolve(base, **{field.name: value})
    return attrs.evolve(old, **sections)
