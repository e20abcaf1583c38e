package org.buckthornhub.target.owner

import org.buckthornhub.group.GroupLeadership
import org.buckthornhub.group.Term

/**
 * A message with what the owner may rely on at the moment it is handled.
 *
 * @property leaseTerm term in which writes may be acknowledged now; null without a lease
 * @property newWriteTerm term in which a new write may start now; null as well while the lease is handed over
 * @property leadership null if the control quorum has committed none for the group
 */
public data class OwnerInput(
    val message: OwnerMessage,
    val leaseTerm: Term?,
    val leadership: GroupLeadership?,
    val newWriteTerm: Term? = leaseTerm,
)
