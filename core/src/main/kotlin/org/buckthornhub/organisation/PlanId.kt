package org.buckthornhub.organisation

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Name of a plan. */
@Serializable
@JvmInline
public value class PlanId(public val value: String) {
    override fun toString(): String = value
}
