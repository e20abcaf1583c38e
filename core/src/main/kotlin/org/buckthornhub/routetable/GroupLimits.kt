package org.buckthornhub.routetable

import kotlinx.serialization.Serializable

/** @property maxConnections connections that one instance of the group takes from all callers together */
@Serializable
public data class GroupLimits(val maxConnections: Int)
