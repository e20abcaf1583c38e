package org.buckthornhub.organisation

import kotlinx.serialization.Serializable

/**
 * Configuration managed by operators: plans, grants and keys.
 *
 * @property revision increases with every accepted change; a daemon never returns to a lower one
 */
@Serializable
public data class Configuration(
    val revision: Long = 0,
    val plans: PlanList = PlanList(),
    val grants: GrantList = GrantList(),
    val keys: Map<KeyDigest, KeyRecord> = emptyMap(),
) {
    /** Returns whether a key with this name was issued and then withdrawn. */
    public fun isWithdrawn(keyName: String): Boolean = keys.values.any { it.keyName == keyName && it.withdrawn }

    /** Returns the grant of [organisation], or null if it has no plan or its plan has no grant. */
    public fun grantOf(organisation: OrganisationId): Grant? = plans.plans[organisation]?.let { grants.grants[it] }
}
