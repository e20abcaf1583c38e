package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of an organisation, unique in the fleet. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** Placeholder where a name is required but there is no organisation: callers without a key, and the daemons themselves. */
        public val NONE: OrganisationId = OrganisationId("-")
    }
}
