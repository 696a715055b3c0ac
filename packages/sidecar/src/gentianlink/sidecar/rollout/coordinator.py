"""Decisions on the roll-outs that this node coordinates."""

import attrs

from gentianlink.core.rollout import RolloutPhase
from gentianlink.core.target_state import TargetState
from gentianlink.node.log import get_logger
from gentianlink.sidecar.rollout import share_plan
from gentianlink.sidecar.rollout.version_verdict import (
    Judgement,
    Verdict,
    count_answers,
    is_covered,
    judge,
)

_LOG = get_logger("rollout")

# Evidence of the last seconds finds versions that turn bad, evidence of more of them
# those that fail some requests.
WINDOWS_MS = (2500.0, 7000.0)
# Calls begin only when the status row has been read, or after this time: an order may
# have been executed before all nodes were restarted.
MAX_STATUS_WAIT_MS = 2000.0
# The state has to reach all nodes before old targets count as idle.
MIN_CLOSING_MS = 600.0
# Part of the duration from which old targets are not waited for if the nodes beside
# them have never sent evidence; those are of an earlier release.
NO_EVIDENCE_PART = 0.95
JUDGEMENTS = tuple(Judgement)


@attrs.define
class _Course:
    """What a coordinator remembers of a roll-out."""

    revision: int
    began_ms: float
    step: int = -1
    step_ms: float = 0.0
    is_status_known: bool = False
    asked_status: RolloutPhase | None = None
    verdict: Verdict = attrs.field(factory=Verdict)


class Coordinator:
    """Decides the next steps of roll-outs.

    Parameters
    ----------
    directory : PeerDirectory
        Nodes and their targets.
    policy : RolloutPolicy
        Groups the targets of a roll-out.
    view : callable
        Returns the EvidenceView of a service.
    status_rows : StatusRows
        Writes the states for the operator.
    publish : callable
        Called with each new state; makes it take effect at all nodes.
    metrics : CallMetrics
        Counts the steps.
    """

    def __init__(self, directory, policy, view, status_rows, publish, metrics):
        self._directory = directory
        self._policy = policy
        self._view = view
        self._status_rows = status_rows
        self._publish = publish
        self._metrics = metrics
        self._courses = {}

    def note_status(self, state, phase, now_ms):
        """Take into account which phase the status row of an order has.

        Parameters
        ----------
        state : RolloutState
            State that was to be written.
        phase : RolloutPhase
            Phase of the row.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        course = self._courses.get(state.service)
        if course is not None and course.revision == state.revision:
            course.is_status_known = True
        if phase is RolloutPhase.DONE:
            self._publish(share_plan.finish(state))
        elif phase is RolloutPhase.ROLLED_BACK:
            self._publish(share_plan.roll_back(state))

    def forget(self, service):
        """Forget a roll-out that another node coordinates."""
        self._courses.pop(service, None)

    def advance(self, state, now_ms, wall_ms):
        """Decide the next step of a roll-out.

        Parameters
        ----------
        state : RolloutState
            Present state.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        wall_ms : float
            Present time in milliseconds since the epoch.
        """
        course = self._courses.get(state.service)
        if course is None or course.revision != state.revision:
            course = self._courses[state.service] = _Course(state.revision, now_ms)
            _LOG.info("coordinating a roll-out", service=state.service, step=state.step)
        if course.step != state.step:
            course.step, course.step_ms = state.step, now_ms
        phase = state.phase
        if phase is not RolloutPhase.CLOSING and course.asked_status is not phase:
            course.asked_status = phase
            self._status_rows.ensure(state)
        if phase is RolloutPhase.CLOSING:
            self._finish_if_idle(state, course, now_ms, wall_ms)
        elif phase is RolloutPhase.RUNNING:
            if course.is_status_known or state.step:
                self._grow(state, course, now_ms, wall_ms)
            elif now_ms - course.began_ms >= MAX_STATUS_WAIT_MS:
                course.is_status_known = True

    def _grow(self, state, course, now_ms, wall_ms):
        situation, verdict = self._assess(state, course, now_ms, wall_ms)
        if (verdict.judgement, verdict.rule_name) != (
            course.verdict.judgement,
            course.verdict.rule_name,
        ):
            _LOG.info(
                "verdict on a roll-out",
                service=state.service,
                to=state.version,
                judgement=verdict.judgement.value,
                rule=verdict.rule_name,
                why=verdict.why,
                new=round(verdict.new, 3),
                old=round(verdict.old, 3),
                answers=situation.answers,
                old_answers=situation.old_answers,
            )
        course.verdict = verdict
        following, why = share_plan.plan(state, situation)
        if following is state:
            return
        self._metrics.count(
            "rollout_steps_total", service=state.service, phase=following.phase.value
        )
        _LOG.info(
            "step of a roll-out",
            service=state.service,
            to=state.version,
            why=why,
            phase=following.phase.value,
            share=round(following.share, 3),
            elapsed_ms=round(situation.elapsed_ms),
            old_targets=situation.old_targets,
            ready_targets=situation.ready_targets,
            answers=situation.answers,
            old_answers=situation.old_answers,
            judgement=verdict.judgement.value,
            rule=verdict.rule_name,
        )
        self._publish(following)

    def _assess(self, state, course, now_ms, wall_ms):
        groups = self._policy.get_groups(state, now_ms, wall_ms)
        view = self._view(state.service)
        first_ms = view.get_first_ms(state.version, now_ms)
        verdict = Verdict()
        for window_ms in WINDOWS_MS:
            since_ms = max(first_ms, now_ms - window_ms)
            evidence = view.list_evidence(since_ms, now_ms)
            found = judge(evidence, state.version)
            if JUDGEMENTS.index(found.judgement) > JUDGEMENTS.index(verdict.judgement):
                verdict = found
        covered = is_covered(evidence, state.version)
        all_answers, _ = count_answers(evidence, state.version)
        answers, old_answers = count_answers(
            view.list_evidence(course.step_ms, now_ms), state.version
        )
        slots = sum(item.target.slots for item in groups.ready)
        old_slots = sum(item.target.slots for item in groups.old)
        return (
            share_plan.Situation(
                elapsed_ms=wall_ms - state.started_ms,
                step_ms=now_ms - course.step_ms,
                old_targets=len(groups.old),
                ready_targets=len(groups.ready),
                ready_capacity=slots / old_slots if old_slots else 1.0,
                answers=answers,
                old_answers=old_answers,
                all_answers=all_answers,
                judgement=verdict.judgement,
                is_covered=covered,
            ),
            verdict,
        )

    def _finish_if_idle(self, state, course, now_ms, wall_ms):
        is_asked = course.asked_status is RolloutPhase.DONE
        if is_asked or now_ms - course.step_ms < MIN_CLOSING_MS:
            return
        view = self._view(state.service)
        part = (wall_ms - state.started_ms) / state.duration_ms
        records = [self._directory.own, *self._directory.get_live_records()]
        for record in records:
            target = record.target
            if target is None or target.service != state.service:
                continue
            if target.version == state.version or target.state is TargetState.LEFT:
                continue
            if view.is_closed_and_idle(record.node_id, state.revision):
                continue
            if part >= NO_EVIDENCE_PART and not view.has_reported(record.node_id):
                continue
            return
        _LOG.info("old targets idle", service=state.service, to=state.version)
        course.asked_status = RolloutPhase.DONE
        # Done takes effect only once it is written; note_status publishes it.
        self._status_rows.ensure(share_plan.finish(state))
