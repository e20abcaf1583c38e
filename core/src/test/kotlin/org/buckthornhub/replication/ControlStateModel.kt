package org.buckthornhub.replication

import org.buckthornhub.control.ControlCommand
import org.buckthornhub.organisation.OrganisationId
import org.buckthornhub.organisation.PlanList

/** Reference model of the replicated state: a single mutable copy of the lists and keys. */
internal class ControlStateModel {
    var plans = PlanList()
        private set
    var keys: Map<String, OrganisationId> = emptyMap()
        private set

    /** True if the command was accepted. */
    fun accept(command: ControlCommand): Boolean = when (command) {
        is ControlCommand.ChangePlans -> (command.plans.number == plans.number + 1).also { if (it) plans = command.plans }
        is ControlCommand.GiveKey -> (command.keyName !in keys).also {
            if (it) keys = keys + (command.keyName to command.organisation)
        }
        else -> error("not used here: $command")
    }
}
