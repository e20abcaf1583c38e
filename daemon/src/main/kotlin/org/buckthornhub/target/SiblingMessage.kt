package org.buckthornhub.target

import org.buckthornhub.target.owner.InstanceProgress

/** Messages handled by [SiblingTask]. */
internal sealed interface SiblingMessage {
    /** Polls each of the other instances after [delayMillis]. */
    data class Poll(val delayMillis: Long) : SiblingMessage

    /** The poll of [target] has ended; [progress] is null if there was no answer. */
    data class ProgressReceived(
        val target: TargetId,
        val progress: InstanceProgress?,
    ) : SiblingMessage
}
