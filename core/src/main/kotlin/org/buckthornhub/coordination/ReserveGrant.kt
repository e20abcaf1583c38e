package org.buckthornhub.coordination

import kotlinx.serialization.Serializable

/** What the control leader gives of its reserve; no tokens if there are none left, or if it may not lead any more. */
@Serializable
public data class ReserveGrant(val tokens: Int)
