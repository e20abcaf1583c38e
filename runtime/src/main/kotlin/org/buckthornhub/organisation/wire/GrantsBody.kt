package org.buckthornhub.organisation.wire

import kotlinx.serialization.Serializable
import org.buckthornhub.control.ChangeId
import org.buckthornhub.organisation.GrantList

/** A new list of grants; its number must be one higher than that of the list it replaces. */
@Serializable
public data class GrantsBody(
    val changeId: ChangeId,
    val list: GrantList,
)
