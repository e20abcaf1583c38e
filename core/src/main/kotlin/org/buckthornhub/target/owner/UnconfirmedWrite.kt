package org.buckthornhub.target.owner

import org.buckthornhub.statement.Answer

/** A write that the primary has executed and that waits until [untilMillis] for a second instance to receive it. */
public data class UnconfirmedWrite(
    val answer: Answer,
    val untilMillis: Long,
)
