package org.buckthornhub.instancepool

/** Names one connection to an instance for as long as the process lives. */
@JvmInline
public value class ConnectionId(public val value: Long)
