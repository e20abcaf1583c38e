package org.buckthornhub.target.owner

import org.buckthornhub.statement.Answer

/** A write that the primary has executed and that waits for a second instance until [untilMillis]. */
public data class UnconfirmedWrite(
    val answer: Answer,
    val untilMillis: Long,
)
