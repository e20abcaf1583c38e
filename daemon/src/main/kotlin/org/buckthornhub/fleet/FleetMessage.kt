package org.buckthornhub.fleet

import org.buckthornhub.target.wire.Announcement

/** What the task that keeps the view of the fleet is told. */
public sealed interface FleetMessage {
    /** A target announced itself. */
    public data class Announced(val announcement: Announcement) : FleetMessage
}
