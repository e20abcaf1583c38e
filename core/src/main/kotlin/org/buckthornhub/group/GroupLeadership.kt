package org.buckthornhub.group

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId
import org.buckthornhub.target.TargetId

/**
 * Who leads a group, as committed by the control quorum.
 *
 * @property termStart first position that belongs to [term]; writes of older terms at or beyond it were lost
 * @property earlierStarts start of every earlier term that a session may still name
 * @property leaseHolder the VM that may acknowledge writes of this term, if any
 */
@Serializable
public data class GroupLeadership(
    val group: GroupId,
    val term: Term,
    val primary: TargetId,
    val termStart: LogPosition,
    @Serializable(with = TermStartsSerializer::class)
    val earlierStarts: PersistentMap<Term, LogPosition> = persistentMapOf(),
    val leaseHolder: VmId? = null,
)
