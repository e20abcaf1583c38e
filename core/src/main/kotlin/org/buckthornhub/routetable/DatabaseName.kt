package org.buckthornhub.routetable

import kotlinx.serialization.Serializable

/** Name under which callers open a database; a [DatabaseRoute] maps it to a group. */
@Serializable
@JvmInline
public value class DatabaseName(public val value: String) {
    override fun toString(): String = value
}
