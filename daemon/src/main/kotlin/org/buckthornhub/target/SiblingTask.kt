package org.buckthornhub.target

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornhub.target.owner.OwnerMessage
import org.buckthornhub.task.Mailbox
import org.buckthornhub.task.Task

/**
 * Polls the replication progress of the other instances of a group, over separate links, and reports it to [owner].
 *
 * An unresponsive instance delays no other one: it is not polled again until its previous poll has ended.
 */
internal class SiblingTask(
    private val target: TargetEntry,
    private val environment: OwnerEnvironment,
    private val owner: Mailbox<OwnerMessage>,
) : Task<SiblingMessage>("siblings-${target.target}") {
    private var drivers: PersistentMap<TargetId, TargetDriver> = persistentMapOf()
    private var pending: PersistentSet<TargetId> = persistentSetOf()
    private lateinit var scope: CoroutineScope

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: SiblingMessage) {
        when (message) {
            is SiblingMessage.Poll -> pollAll(message.delayMillis)
            is SiblingMessage.ProgressReceived -> progressReceived(message)
        }
    }

    override fun onEnd() {
        drivers.values.forEach { it.close() }
    }

    private fun pollAll(delayMillis: Long) {
        val siblings = environment.view.current().targetsOf(target.group).filter { it.target != target.target }
        val free = siblings.filter { it.target !in pending }
        free.forEach { poll(it, delayMillis) }
        if (siblings.isEmpty()) scope.launch { reportNoProgress(delayMillis) }
    }

    private fun poll(sibling: TargetEntry, delayMillis: Long) {
        val driver = drivers[sibling.target] ?: environment.driverOf(sibling)
        drivers = drivers.put(sibling.target, driver)
        pending = pending.add(sibling.target)
        scope.launch {
            delay(delayMillis)
            report(SiblingMessage.ProgressReceived(sibling.target, driver.progress(PROGRESS_TIMEOUT_MILLIS)))
        }
    }

    private fun progressReceived(message: SiblingMessage.ProgressReceived) {
        pending = pending.remove(message.target)
        owner.offer(OwnerMessage.GroupProgress(listOfNotNull(message.progress).fold(persistentListOf()) { all, one -> all.add(one) }))
    }

    private suspend fun reportNoProgress(delayMillis: Long) {
        delay(delayMillis.coerceAtLeast(IDLE_MILLIS))
        owner.offer(OwnerMessage.GroupProgress(persistentListOf()))
    }

    private companion object {
        const val PROGRESS_TIMEOUT_MILLIS = 200L
        const val IDLE_MILLIS = 5L
    }
}
