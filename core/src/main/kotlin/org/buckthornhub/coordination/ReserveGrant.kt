package org.buckthornhub.coordination

import kotlinx.serialization.Serializable

/** Tokens granted by the control leader from its reserve; 0 if none are left, or if the VM may no longer be the leader. */
@Serializable
public data class ReserveGrant(val tokens: Int)
