package org.buckthornhub.caller

import kotlinx.serialization.descriptors.SerialDescriptor

/** A schema of the OpenAPI document and the body type that it describes. */
internal data class SchemaCase(
    val name: String,
    val body: SerialDescriptor,
) {
    override fun toString(): String = name
}
