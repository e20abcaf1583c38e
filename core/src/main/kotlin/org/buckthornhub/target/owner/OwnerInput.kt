package org.buckthornhub.target.owner

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term

/**
 * A message together with the lease and the leadership that are valid when it is handled.
 *
 * @property leaseTerm term in which writes may be acknowledged; null without a lease
 * @property newWriteTerm term in which a new write may start; also null while the lease is being handed over
 * @property leadership committed leadership of the group; null if the control quorum has committed none
 */
public data class OwnerInput(
    val message: OwnerMessage,
    val leaseTerm: Term?,
    val leadership: GroupLeadership?,
    val newWriteTerm: Term? = leaseTerm,
)
