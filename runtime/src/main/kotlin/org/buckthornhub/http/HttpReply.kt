package org.buckthornhub.http

/** A whole HTTP response as our clients see it; [body] is text in UTF-8. */
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
