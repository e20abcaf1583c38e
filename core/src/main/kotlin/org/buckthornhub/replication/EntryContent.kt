package org.buckthornhub.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornhub.control.ControlCommand

/** What an entry of the replicated log holds. */
@Serializable
public sealed interface EntryContent {
    /** A command for the state machine. */
    @Serializable
    @SerialName("command")
    public data class Command(val command: ControlCommand) : EntryContent

    /** The members from this entry on, whether it is committed or not. A new leader commits one first. */
    @Serializable
    @SerialName("members")
    public data class Members(val members: Set<Member>) : EntryContent
}
