"""The operators' records that are in force at this instance."""

from collections.abc import Callable

import reactivex
import reactivex.subject

from ..core import record
from ..groups import group as groups
from ..records import machine
from ..telemetry import log, metrics


class ConfigurationInForce:
    """Put committed revisions in force, and never an older one than before.

    Parameters
    ----------
    group : Group
        The records group.
    records : RecordsMachine
        Its local machine.
    stored_revision : callable
        Returns the revision that this instance has stored as in force.
    store_revision : callable
        Stores a revision; it raises if the disk fails, and the revision is then not
        put in force.
    metrics_registry : Metrics
        Gets the revision as a gauge.
    """

    def __init__(
        self,
        group: groups.Group,
        records: machine.RecordsMachine,
        stored_revision: Callable[[], int],
        store_revision: Callable[[int], bool],
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._records = records
        self._stored_revision = stored_revision
        self._store_revision = store_revision
        self._metrics = metrics_registry
        self._current = record.Configuration()
        self._changes: reactivex.Subject[record.Configuration] = (
            reactivex.subject.Subject()
        )
        self._subscription = group.applied.subscribe(on_next=self._applied)
        self._applied(0)

    @property
    def current(self) -> record.Configuration:
        """Return the configuration in force."""
        return self._current

    @property
    def changes(self) -> reactivex.Observable[record.Configuration]:
        """Return the stream of configurations put in force."""
        return self._changes

    @property
    def caught_up(self) -> bool:
        """Tell whether nothing newer was in force here before."""
        return self._current.revision >= self._stored_revision()

    def close(self) -> None:
        """Follow the group no longer."""
        self._subscription.dispose()

    def _applied(self, index: int) -> None:
        del index
        configuration = self._records.configuration
        if configuration.revision <= self._current.revision:
            return
        if configuration.revision < self._stored_revision():
            # An old snapshot is being caught up with; it must not come into force.
            return
        self._store_revision(configuration.revision)
        self._current = configuration
        self._metrics.set_gauge("configuration_revision", configuration.revision)
        log.state_change("configuration.in_force", revision=configuration.revision)
        self._changes.on_next(configuration)
