package org.buckthornhub.proxy

import org.buckthornhub.session.Session
import org.buckthornhub.statement.Answer

/** A served request: the answer, and the session after it. */
public data class ProxyResponse(
    val answer: Answer,
    val session: Session,
)
