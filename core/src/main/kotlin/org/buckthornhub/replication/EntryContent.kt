package org.buckthornhub.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.control.ControlCommand

/** Content of an entry of the replicated log. */
@Serializable
public sealed interface EntryContent {
    /** Approximate size of the encoded content, in characters. */
    public val chars: Int

    /** A command for the state machine. */
    @Serializable
    @SerialName("command")
    public data class Command(val command: ControlCommand) : EntryContent {
        override val chars: Int
            get() = SMALL_CHARS + ((command as? ControlCommand.ReplaceRouteTable)?.stored?.chars ?: 0)
    }

    /**
     * The members of the quorum. Takes effect when appended, before it is committed. A new leader first appends one, because
     * only an entry of its own term shows which earlier entries are committed.
     */
    @Serializable
    @SerialName("members")
    public data class Members(val members: Set<Member>) : EntryContent {
        override val chars: Int get() = SMALL_CHARS
    }

    public companion object {
        private const val SMALL_CHARS = 500
    }
}
