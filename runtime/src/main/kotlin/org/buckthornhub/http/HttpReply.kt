package org.buckthornhub.http

/**
 * A complete HTTP response; [body] is decoded from UTF-8.
 *
 * @property head sent before [body], as a part of the same text; null on the side of the client
 */
public data class HttpReply(
    val status: Int,
    val body: String,
    val headers: Map<String, String> = emptyMap(),
    val head: CompressedBody? = null,
) {
    public val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}
