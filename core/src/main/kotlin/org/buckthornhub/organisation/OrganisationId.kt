package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of an organisation, unique in the fleet. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}
