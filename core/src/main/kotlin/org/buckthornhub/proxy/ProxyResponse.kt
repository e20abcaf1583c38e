package org.buckthornhub.proxy

import org.buckthornhub.session.Session
import org.buckthornhub.statement.Answer

/** Result of a served request: the answer, and the session state after it. */
public data class ProxyResponse(
    val answer: Answer,
    val session: Session,
)
