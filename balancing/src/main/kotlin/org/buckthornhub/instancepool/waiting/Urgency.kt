package org.buckthornhub.instancepool.waiting

import org.buckthornhub.instancepool.PendingConnectionRequest

/** Lower is more urgent: by the priority of the route, then transactions that have begun and the daemon's own statements. */
internal val PendingConnectionRequest.urgency: Int get() = request.priority * 2 + if (hasBegun || isOwn) 0 else 1

/** Whether the daemon asks for itself, such as for the position of a primary; such a statement is not refused for others. */
internal val PendingConnectionRequest.isOwn: Boolean get() = request.organisation == null
