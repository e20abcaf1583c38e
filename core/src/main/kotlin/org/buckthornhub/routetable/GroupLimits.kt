package org.buckthornhub.routetable

import kotlinx.serialization.Serializable

/**
 * Limits of a group, and what its instances promise for a commit.
 *
 * @property maxConnections maximum number of connections that one instance of the group accepts, from all callers together
 * @property syncReplicas number of replicas that have received a commit before it is acknowledged; null in a table that a version
 * stored which did not read it
 */
@Serializable
public data class GroupLimits(
    val maxConnections: Int,
    val syncReplicas: Int? = null,
)
