package org.buckthornhub.control

import org.buckthornhub.group.PrimaryDesignation
import org.buckthornhub.group.Term
import org.buckthornhub.organisation.Configuration
import org.buckthornhub.organisation.KeyRecord

/** Deterministic state machine: the same commands in the same order lead to the same state on every VM. */
public object ControlStateMachine {
    /** Number of outcomes that are kept to answer resends. */
    public const val REMEMBERED_OUTCOMES: Int = 1_024

    /** Returns the state after [command] and its outcome. */
    public fun apply(state: MachineState, command: ControlCommand): Pair<MachineState, CommandOutcome> = when (command) {
        is ControlCommand.ChangePlans -> applyOnce(state, command.changeId) { changePlans(state, command) }
        is ControlCommand.ChangeGrants -> applyOnce(state, command.changeId) { changeGrants(state, command) }
        is ControlCommand.GiveKey -> if (isKeyMismatch(state, command)) {
            state to keyMismatch(command)
        } else {
            applyOnce(state, command.changeId) {
                giveKey(state, command)
            }
        }
        is ControlCommand.WithdrawKey -> withdrawKey(state, command)
        is ControlCommand.ReplaceRouteTable -> replaceRouteTable(state, command)
        is ControlCommand.SetLeadership -> setLeadership(state, command)
        is ControlCommand.DesignatePrimary -> designatePrimary(state, command)
        is ControlCommand.SetEvacuation -> setEvacuation(state, command)
        is ControlCommand.NoOp -> state to CommandOutcome.Accepted(state.control.revision)
    }

    private fun applyOnce(
        state: MachineState,
        changeId: ChangeId,
        change: () -> Pair<MachineState, CommandOutcome>,
    ): Pair<MachineState, CommandOutcome> {
        state.outcomes[changeId]?.let { return state to it }
        val (next, outcome) = change()
        val outcomes = next.outcomes + (changeId to outcome)
        val kept = if (outcomes.size > REMEMBERED_OUTCOMES) outcomes - outcomes.keys.first() else outcomes
        return next.copy(outcomes = kept) to outcome
    }

    private fun changePlans(state: MachineState, command: ControlCommand.ChangePlans): Pair<MachineState, CommandOutcome> {
        val current = state.control.configuration
        conflict("plans", current.plans.number, command.plans.number, state.lastPlans)?.let { return state to it }
        val errors = ListValidator.errorsOf(command.plans, current.grants)
        if (errors.isNotEmpty()) return state to CommandOutcome.Invalid(errors)
        return accept(state.copy(lastPlans = command.changeId), current.copy(plans = command.plans))
    }

    private fun changeGrants(state: MachineState, command: ControlCommand.ChangeGrants): Pair<MachineState, CommandOutcome> {
        val current = state.control.configuration
        conflict("grants", current.grants.number, command.grants.number, state.lastGrants)?.let { return state to it }
        val errors = ListValidator.errorsOf(command.grants, current.plans)
        if (errors.isNotEmpty()) return state to CommandOutcome.Invalid(errors)
        return accept(state.copy(lastGrants = command.changeId), current.copy(grants = command.grants))
    }

    private fun conflict(list: String, current: Long, proposed: Long, last: ChangeId?): CommandOutcome.Conflict? {
        if (proposed == current + 1) return null
        val winner = last?.let { "change $it made the list of $list number $current" } ?: "the list of $list is number $current"
        return CommandOutcome.Conflict("$winner; the next one is ${current + 1}, not $proposed")
    }

    private fun giveKey(state: MachineState, command: ControlCommand.GiveKey): Pair<MachineState, CommandOutcome> {
        val current = state.control.configuration
        val errors = ListValidator.errorsOf(command)
        if (errors.isNotEmpty()) return state to CommandOutcome.Invalid(errors)
        val holder = current.keys.values.firstOrNull { it.keyName == command.keyName } ?: current.keys[command.digest]
        if (holder != null) return state to CommandOutcome.Conflict(describe(holder))
        val record = KeyRecord(command.keyName, command.organisation)
        return accept(state, current.copy(keys = current.keys + (command.digest to record)))
    }

    // A resend must contain the same key. Without this check a resend with a new key would be reported as accepted, although
    // the new key was never stored.
    private fun isKeyMismatch(state: MachineState, command: ControlCommand.GiveKey): Boolean =
        state.outcomes[command.changeId] is CommandOutcome.Accepted && command.digest !in state.control.configuration.keys

    private fun keyMismatch(command: ControlCommand.GiveKey) =
        CommandOutcome.Conflict("change ${command.changeId} was accepted before, with another key or list")

    private fun describe(holder: KeyRecord): String {
        val what = if (holder.withdrawn) "was withdrawn" else "was given"
        return "key ${holder.keyName} $what for organisation ${holder.organisation}; a name is used once"
    }

    private fun withdrawKey(state: MachineState, command: ControlCommand.WithdrawKey): Pair<MachineState, CommandOutcome> {
        val current = state.control.configuration
        val (digest, record) = current.keys.entries.firstOrNull { it.value.keyName == command.keyName }
            ?: return state to CommandOutcome.Invalid(listOf("no key named ${command.keyName} was given"))
        if (record.withdrawn) return state to CommandOutcome.Accepted(current.revision)
        return accept(state, current.copy(keys = current.keys + (digest to record.copy(withdrawn = true))))
    }

    private fun replaceRouteTable(state: MachineState, command: ControlCommand.ReplaceRouteTable): Pair<MachineState, CommandOutcome> {
        val current = state.control.routeTable?.table
        val isOutdated = current != null && command.stored.table.version <= current.version
        if (isOutdated) return state to CommandOutcome.Accepted(state.control.revision)
        return accept(state.copy(control = state.control.copy(routeTable = command.stored)), state.control.configuration)
    }

    private fun setLeadership(state: MachineState, command: ControlCommand.SetLeadership): Pair<MachineState, CommandOutcome> {
        val leadership = command.leadership
        val current = state.control.leaderships[leadership.group]
        if (current == leadership) return state to CommandOutcome.Accepted(state.control.revision)
        val term = current?.term ?: Term.NONE
        if (term != command.expected) {
            return state to CommandOutcome.Conflict("group ${leadership.group} is in term ${term.value}, led by ${current?.primary}")
        }
        if (leadership.term < term) return state to CommandOutcome.Invalid(listOf("term ${leadership.term.value} is before ${term.value}"))
        val control = state.control.copy(leaderships = state.control.leaderships + (leadership.group to leadership))
        return accept(state.copy(control = control), control.configuration)
    }

    private fun designatePrimary(state: MachineState, command: ControlCommand.DesignatePrimary): Pair<MachineState, CommandOutcome> {
        val current = state.control.designations.byGroup[command.group]
        val designation = PrimaryDesignation(command.target, command.expected + 1)
        if (current == designation) return state to CommandOutcome.Accepted(state.control.revision)
        if ((current?.number ?: 0) != command.expected) {
            return state to CommandOutcome.Conflict("designation ${current?.number ?: 0} of group ${command.group} is ${current?.target}")
        }
        val control = state.control.copy(designations = state.control.designations.with(command.group, designation))
        return accept(state.copy(control = control), control.configuration)
    }

    private fun setEvacuation(state: MachineState, command: ControlCommand.SetEvacuation): Pair<MachineState, CommandOutcome> {
        Evacuations.errorIn(command.zone)?.let { return state to CommandOutcome.Invalid(listOf(it)) }
        val current = state.control.evacuations
        val next = current.with(command.zone, command.isEvacuated)
        if (next == current) return state to CommandOutcome.Accepted(state.control.revision)
        if (current.revision != command.expected) {
            return state to CommandOutcome.Conflict("the evacuated zones are ${current.zones}, change number ${current.revision}")
        }
        if (next.zones.size > Evacuations.MAX_ZONES) {
            return state to CommandOutcome.Invalid(listOf("at most ${Evacuations.MAX_ZONES} zones can be evacuated at a time"))
        }
        return accept(state.copy(control = state.control.copy(evacuations = next)), state.control.configuration)
    }

    private fun accept(state: MachineState, configuration: Configuration): Pair<MachineState, CommandOutcome> {
        val revision = state.control.revision + 1
        val control = state.control.copy(configuration = configuration.copy(revision = revision))
        return state.copy(control = control) to CommandOutcome.Accepted(revision)
    }
}
