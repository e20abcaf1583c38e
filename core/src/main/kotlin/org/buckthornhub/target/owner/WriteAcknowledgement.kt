package org.buckthornhub.target.owner

/** Condition under which a write is acknowledged. */
public enum class WriteAcknowledgement {
    /** The primary has executed it; a failover may lose it. */
    PRIMARY,

    /** The primary has executed it and one more instance has received it. */
    SECOND_INSTANCE,
}
