package org.buckthornhub.control

import org.buckthornhub.organisation.Grant
import org.buckthornhub.organisation.GrantList
import org.buckthornhub.organisation.PlanId
import org.buckthornhub.organisation.PlanList

/** Validates lists and keys. Reports all errors of a list together, so that they can be corrected in one attempt. */
public object ListValidator {
    /**
     * Returns the errors of [plans].
     *
     * @param grants the current grants, which must contain each plan
     */
    public fun errorsOf(plans: PlanList, grants: GrantList): List<String> = plans.plans.entries.flatMap { (organisation, plan) ->
        listOfNotNull(
            "an organisation has an empty name".takeIf { organisation.value.isBlank() },
            "organisation $organisation holds a plan with an empty name".takeIf { plan.value.isBlank() },
            "organisation $organisation holds plan $plan, which the list of grants does not know"
                .takeIf { plan.value.isNotBlank() && plan !in grants.grants },
        )
    }

    /**
     * Returns the errors of [grants].
     *
     * @param plans the current plans, each of which must keep its grant
     */
    public fun errorsOf(grants: GrantList, plans: PlanList): List<String> {
        val wrong = grants.grants.entries.flatMap { (plan, grant) -> errorsOf(plan, grant) }
        val open = if (grants.openGroups.any { it.value.isBlank() }) listOf("an open group has an empty name") else emptyList()
        val orphans = plans.plans.entries
            .filter { it.value !in grants.grants }
            .map { "plan ${it.value} is missing, but organisation ${it.key} holds it" }
        return wrong + open + orphans
    }

    /** Returns the errors of a new key. */
    public fun errorsOf(command: ControlCommand.GiveKey): List<String> = listOfNotNull(
        "the key has an empty name".takeIf { command.keyName.isBlank() },
        "the organisation has an empty name".takeIf { command.organisation.value.isBlank() },
        "the digest is not a SHA-256".takeIf { !DIGEST.matches(command.digest.hex) },
    )

    private fun errorsOf(plan: PlanId, grant: Grant): List<String> = listOfNotNull(
        "a plan has an empty name".takeIf { plan.value.isBlank() },
        "plan $plan has rate ${grant.ratePerSecond}; it has to be above 0".takeIf { !isRate(grant.ratePerSecond) },
        "plan $plan has burst ${grant.burst}; it has to be at least 1".takeIf { grant.burst < 1 },
        "plan $plan names no group".takeIf { grant.groups.isEmpty() },
        "plan $plan names a group with an empty name".takeIf { grant.groups.any { it.value.isBlank() } },
    )

    private fun isRate(value: Double): Boolean = value > 0 && value.isFinite()

    private val DIGEST = Regex("[0-9a-f]{64}")
}
