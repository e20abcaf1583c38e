package org.buckthornhub.instancepool

import org.buckthornhub.group.Position

/** Requirement on the instance that serves a connection request. */
public sealed interface ConnectionRequirement {
    /** Only the primary of the group. */
    public data object Primary : ConnectionRequirement

    /** Any instance that has applied [floor]; the primary always qualifies. */
    public data class AtLeast(val floor: Position) : ConnectionRequirement
}
