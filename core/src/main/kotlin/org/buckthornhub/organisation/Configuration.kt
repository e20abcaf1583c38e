package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/**
 * All that operators decide: the two lists and the keys.
 *
 * @property revision grows with every accepted change; a daemon never goes back to a lower one
 */
@Serializable
public data class Configuration(
    val revision: Long = 0,
    val plans: PlanList = PlanList(),
    val grants: GrantList = GrantList(),
    val keys: Map<KeyDigest, KeyRecord> = emptyMap(),
) {
    /** Whether a key of this name was given and withdrawn. */
    public fun isWithdrawn(keyName: String): Boolean = keys.values.any { it.keyName == keyName && it.withdrawn }

    /** The grant of [organisation], or null if it holds no plan that is granted anything. */
    public fun grantOf(organisation: OrganisationId): Grant? = plans.plans[organisation]?.let { grants.grants[it] }
}
