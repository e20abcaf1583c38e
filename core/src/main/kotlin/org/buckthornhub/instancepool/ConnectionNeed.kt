package org.buckthornhub.instancepool

import org.buckthornhub.group.Position

/** Which instances of a group will do. */
public sealed interface ConnectionNeed {
    /** The one that leads. */
    public data object Leader : ConnectionNeed

    /** Any that holds [floor]. */
    public data class AtLeast(val floor: Position) : ConnectionNeed
}
