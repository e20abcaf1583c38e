package org.buckthornhub.connection

/** Event that a session waits for. */
internal sealed interface SessionEvent {
    data class Request(val request: ClientRequest) : SessionEvent

    /** The open transaction has exceeded its idle timeout. */
    data object Idle : SessionEvent

    /** The daemon is shutting down and the session has no open transaction. */
    data object Leaving : SessionEvent

    /** The target of the open transaction is in a zone that is evacuated, and the transaction has to end. */
    data object Evacuated : SessionEvent

    /** The caller has disconnected. */
    data object Disconnected : SessionEvent
}
