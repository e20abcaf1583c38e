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
 * Asks the other instances of a group how far they are, on links of its own, and tells [owner].
 *
 * An instance that is silent holds up nobody: it is not asked again before its last question has ended.
 */
internal class SiblingTask(
    private val target: TargetEntry,
    private val environment: OwnerEnvironment,
    private val owner: Mailbox<OwnerMessage>,
) : Task<SiblingMessage>("siblings-${target.target}") {
    private var drivers: PersistentMap<TargetId, TargetDriver> = persistentMapOf()
    private var asked: PersistentSet<TargetId> = persistentSetOf()
    private lateinit var scope: CoroutineScope

    override suspend fun onStart(scope: CoroutineScope) {
        this.scope = scope
    }

    override suspend fun handle(message: SiblingMessage) {
        when (message) {
            is SiblingMessage.Ask -> askAll(message.delayMillis)
            is SiblingMessage.Answered -> answered(message)
        }
    }

    override fun onEnd() {
        drivers.values.forEach { it.close() }
    }

    private fun askAll(delayMillis: Long) {
        val siblings = environment.view.current().targetsOf(target.group).filter { it.target != target.target }
        val free = siblings.filter { it.target !in asked }
        free.forEach { ask(it, delayMillis) }
        if (siblings.isEmpty()) scope.launch { tellNothing(delayMillis) }
    }

    private fun ask(sibling: TargetEntry, delayMillis: Long) {
        val driver = drivers[sibling.target] ?: environment.driverOf(sibling)
        drivers = drivers.put(sibling.target, driver)
        asked = asked.add(sibling.target)
        scope.launch {
            delay(delayMillis)
            report(SiblingMessage.Answered(sibling.target, driver.progress(PROGRESS_TIMEOUT_MILLIS)))
        }
    }

    private fun answered(message: SiblingMessage.Answered) {
        asked = asked.remove(message.target)
        owner.offer(OwnerMessage.GroupProgress(listOfNotNull(message.progress).fold(persistentListOf()) { all, one -> all.add(one) }))
    }

    private suspend fun tellNothing(delayMillis: Long) {
        delay(delayMillis.coerceAtLeast(IDLE_MILLIS))
        owner.offer(OwnerMessage.GroupProgress(persistentListOf()))
    }

    private companion object {
        const val PROGRESS_TIMEOUT_MILLIS = 200L
        const val IDLE_MILLIS = 5L
    }
}
