package org.buckthornhub.overload

/** Number of a connection in the order in which the connections of the process were opened. */
@JvmInline
public value class GuardedId(public val value: Long)
