package org.buckthornhub.task

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/** Sends [message] to [mailbox] every [periodMillis] until this scope is cancelled. */
public fun <M> CoroutineScope.startTicker(mailbox: Mailbox<M>, periodMillis: Long, message: M): Job = launch {
    while (isActive) {
        delay(periodMillis)
        mailbox.offer(message)
    }
}
