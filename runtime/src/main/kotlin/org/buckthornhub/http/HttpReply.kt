package org.buckthornhub.http

/** A complete HTTP response; [body] is decoded from UTF-8. */
public data class HttpReply(
    val status: Int,
    val body: String,
    val headers: Map<String, String> = emptyMap(),
) {
    public val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}
