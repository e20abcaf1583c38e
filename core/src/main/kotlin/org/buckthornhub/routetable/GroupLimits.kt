package org.buckthornhub.routetable

import kotlinx.serialization.Serializable

/** @property maxConnections maximum number of connections that one instance of the group accepts, from all callers together */
@Serializable
public data class GroupLimits(val maxConnections: Int)
