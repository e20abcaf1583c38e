package org.buckthornhub.evacuation

/** How far the evacuation of a zone has come at one daemon; each stage includes the restrictions of those before it. */
internal enum class EvacuationStage {
    /** The zone is not evacuated. */
    SERVING,

    /** No reads are sent there; a primary is used until another instance leads. */
    LEAVING,

    /** No work is begun there. */
    DRAINED,

    /** Open transactions are rolled back. */
    ENDING,

    /** Nothing is sent there. */
    CLOSED,
}
