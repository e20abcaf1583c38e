package org.buckthornhub.repeat

import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornhub.error.ProxyError
import org.buckthornhub.statement.Answer
import org.buckthornhub.statement.Operation

/**
 * State of one request that the owner has received.
 *
 * @property operation operation of the request, to detect an id that is reused for another one
 * @property result result of the operation, null while it runs
 * @property waiters tickets of repeated requests that wait for [result]
 */
public data class DeduplicationEntry(
    val operation: Operation,
    val result: Result<Answer, ProxyError>? = null,
    val waiters: PersistentList<Long> = persistentListOf(),
)
