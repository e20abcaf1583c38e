package org.buckthornhub.peer

import com.github.michaelbull.result.Result
import org.buckthornhub.error.ErrorKind
import org.buckthornhub.http.HttpFailure
import org.buckthornhub.http.HttpReply
import org.buckthornhub.statement.Access

/** A forwarded call whose reply is spoiled by [onTheWayBack], and what the entry daemon makes of it. */
internal class ForwardCase(
    private val name: String,
    val access: Access,
    val error: ErrorKind?,
    val onTheWayBack: (HttpReply) -> Result<HttpReply, HttpFailure>,
) {
    override fun toString(): String = "$access: $name"
}
