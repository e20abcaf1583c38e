package org.buckthornhub.load.run

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * A fault to cause during a run: [fault] is posted to [path] at [address] [afterMillis] after the start.
 *
 * @property group the group that it concerns
 * @property killsPrimary true if the gap in the group's writes is measured from it
 */
@Serializable
public data class FaultOrder(
    val afterMillis: Long,
    val address: String,
    val path: String,
    val fault: JsonObject,
    val label: String,
    val group: String? = null,
    val killsPrimary: Boolean = false,
)
