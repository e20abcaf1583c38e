package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply
import org.buckthornhub.statement.Access

/** A forwarded call whose reply is altered by [alterReply], and the [error] expected at the entry daemon. */
internal class ForwardCase(
    private val name: String,
    val access: Access,
    val error: ErrorKind?,
    val alterReply: (HttpReply) -> Result<HttpReply, HttpFailure>,
) {
    override fun toString(): String = "$access: $name"
}
