package org.buckthornhub.group

import kotlinx.serialization.Serializable
import org.buckthornhub.target.TargetId

/** Designated primaries by group. A group that was never failed over has none: whichever instance leads it may do so. */
@Serializable
public data class PrimaryDesignations(val byGroup: Map<GroupId, PrimaryDesignation> = emptyMap()) {
    /** Number of designations of all groups so far. */
    public val revision: Long get() = byGroup.values.sumOf { it.number }

    /** Returns whether [target] may act as the primary of [group]. */
    public fun allows(group: GroupId, target: TargetId): Boolean = byGroup[group]?.let { it.target == target } ?: true

    public fun with(group: GroupId, designation: PrimaryDesignation): PrimaryDesignations =
        PrimaryDesignations(byGroup + (group to designation))
}
