package org.buckthornhub.connection

/** What a session waits for. */
internal sealed interface SessionEvent {
    data class Request(val request: ClientRequest) : SessionEvent

    /** The open transaction has had no statement for too long. */
    data object Idle : SessionEvent

    /** The daemon stops, and nothing is open here. */
    data object Leaving : SessionEvent

    /** The caller is gone. */
    data object Gone : SessionEvent
}
