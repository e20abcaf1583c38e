package org.buckthornhub.cli.check

/** A document, the document in force if one is given, and the exit code and the part of the output that are expected. */
internal data class CheckCase(
    val name: String,
    val document: String,
    val exitCode: Int,
    val output: String,
    val inForce: String? = null,
    val asJson: Boolean = false,
) {
    override fun toString(): String = name
}
