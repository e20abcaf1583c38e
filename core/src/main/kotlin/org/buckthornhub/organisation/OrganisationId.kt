package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of an organisation, unique in the fleet. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** Stands where a name is asked for and no organisation is behind it: callers without a key, and daemons themselves. */
        public val NONE: OrganisationId = OrganisationId("-")
    }
}
