package org.buckthornhub.standin.instance

import kotlinx.coroutines.CompletableDeferred
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.target.TargetId

/** Effect executed by the task of an instance. */
public sealed interface InstanceEffect {
    /** Completes [reply] with [value]. */
    public data class Answer<T>(
        val reply: CompletableDeferred<T>,
        val value: T,
    ) : InstanceEffect

    /** Sends [message] to the instance [to], or to all others of the group if it is null; [onlyZone] limits it to one zone. */
    public data class Send(
        val to: TargetId?,
        val message: InstanceMessage,
        val onlyZone: ZoneId? = null,
    ) : InstanceEffect

    /** Opens or closes the port. */
    public data class Listen(val open: Boolean) : InstanceEffect

    /** Logs that [count] entries of older terms were discarded. */
    public data class Discarded(val count: Int) : InstanceEffect
}
