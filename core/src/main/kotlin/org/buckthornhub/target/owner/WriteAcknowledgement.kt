package org.buckthornhub.target.owner

/** When a write counts as done. */
public enum class WriteAcknowledgement {
    /** The primary has it; a failover may lose it. */
    PRIMARY,

    /** One more instance has received it too. */
    SECOND_INSTANCE,
}
