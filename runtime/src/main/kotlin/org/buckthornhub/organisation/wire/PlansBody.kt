package org.buckthornhub.organisation.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.control.ChangeId
import org.buckthornhub.organisation.PlanList

/** A new list of plans; its number must be one higher than that of the list it replaces. */
@Serializable
public data class PlansBody(
    val changeId: ChangeId,
    val list: PlanList,
)
