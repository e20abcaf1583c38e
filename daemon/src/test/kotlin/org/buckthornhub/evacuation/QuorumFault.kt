package org.buckthornhub.evacuation

/** Fault that a proposal meets. */
internal enum class QuorumFault {
    /** It is lost before a majority has stored it. */
    NOT_STORED,

    /** It is stored, and its answer is lost with the leader. */
    ANSWER_LOST,

    /** Another order is stored before it. */
    ORDERED_MEANWHILE,
}
