package org.buckthornhub.target

import org.buckthornhub.target.owner.InstanceProgress

/** What the task that asks the other instances of a group is told. */
internal sealed interface SiblingMessage {
    /** Asks each of them after [delayMillis]. */
    data class Ask(val delayMillis: Long) : SiblingMessage

    /** The question to [target] has ended, without an answer if [progress] is null. */
    data class Answered(
        val target: TargetId,
        val progress: InstanceProgress?,
    ) : SiblingMessage
}
