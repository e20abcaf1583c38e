package org.buckthornhub.http

/**
 * Bytes from outside.
 *
 * @property body body of a request or reply, a character for each byte
 * @property isText whether a handler may see them, as text
 */
internal data class InvalidTextCase(
    val name: String,
    val body: String,
    val isText: Boolean,
    val path: String = "/items/ok",
) {
    override fun toString(): String = name
}
