package org.buckthornhub.repeat

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation

/**
 * What became of one request.
 *
 * @property operation what was asked for, so that an id used for something else is seen
 * @property result null while it runs
 * @property waiters tickets of resends that wait for [result]
 */
public data class LedgerEntry(
    val operation: Operation,
    val result: Result<Answer, ProxyError>? = null,
    val waiters: PersistentList<Long> = persistentListOf(),
)
