package org.buckthornhub.group

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import org.buckthornhub.fleet.VmId
import org.buckthornhub.target.TargetId

/**
 * Primary and term of a group, as committed by the control quorum.
 *
 * @property termStart first position of [term]; writes of older terms at or beyond it are lost
 * @property earlierStarts first position of every earlier term that a session may still refer to
 * @property leaseHolder VM that may acknowledge writes of this term, if any
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
