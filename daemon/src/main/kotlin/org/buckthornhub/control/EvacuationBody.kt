package org.buckthornhub.control

import kotlinx.serialization.Serializable

/**
 * Reply to an operator's request about the evacuation of [zone].
 *
 * @property zones all evacuated zones; null in the reply to an order
 * @property revision number of changes so far; null in the reply to an order
 */
@Serializable
public data class EvacuationBody(
    val zone: String,
    val evacuated: Boolean,
    val zones: List<String>? = null,
    val revision: Long? = null,
)
