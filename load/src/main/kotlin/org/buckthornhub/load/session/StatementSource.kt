package org.buckthornhub.load.session

import org.buckthornhub.load.history.StatementType
import kotlin.random.Random

/** Makes up the statements of one session from its seed. */
internal class StatementSource(
    private val plan: SessionPlan,
    private val random: Random,
) {
    /** Statement [number]; the first one of a key writes it. */
    fun next(number: Long): LoadStatement {
        val requestId = "${plan.name}-$number"
        val group = plan.groups[random.nextInt(plan.groups.size)]
        val key = "${plan.name}/${number / STATEMENTS_PER_KEY}"
        val value = "${plan.name}.$number"
        if (random.nextDouble() < plan.readShare) return read(requestId, group, key)
        if (random.nextDouble() < plan.insertShare) {
            return LoadStatement(requestId, group, StatementType.INSERT, "${plan.organisation}/bookings/${random.nextInt(BOOKINGS)}", value)
        }
        return LoadStatement(requestId, group, StatementType.APPEND, key, value)
    }

    private fun read(requestId: String, group: String, key: String): LoadStatement {
        val isForeign = plan.acceptedAgesMillis.isNotEmpty() && random.nextDouble() < FOREIGN_SHARE
        if (!isForeign) return LoadStatement(requestId, group, StatementType.READ, key)
        val age = plan.acceptedAgesMillis[random.nextInt(plan.acceptedAgesMillis.size)]
        val neighbour = "${plan.neighbour}/${key.substringAfterLast('/')}"
        return LoadStatement(requestId, group, StatementType.READ, neighbour, acceptedAgeMillis = age)
    }

    private companion object {
        const val STATEMENTS_PER_KEY = 40
        const val FOREIGN_SHARE = 0.3
        const val BOOKINGS = 10_000
    }
}
