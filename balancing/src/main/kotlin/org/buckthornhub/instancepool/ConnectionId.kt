package org.buckthornhub.instancepool

/** Id of a connection to an instance, unique within this process. */
@JvmInline
public value class ConnectionId(public val value: Long)
