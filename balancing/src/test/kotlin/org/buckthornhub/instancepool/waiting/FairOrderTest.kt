package org.buckthornhub.instancepool.waiting

import org.buckthornhub.group.GroupId
import org.buckthornhub.instancepool.ConnectionRequest
import org.buckthornhub.instancepool.ConnectionRequirement
import org.buckthornhub.instancepool.PendingConnectionRequest
import org.buckthornhub.organisation.OrganisationId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertTrue

/** Guards against starvation: statements of two kinds always wait, and one connection serves them one after the other. */
internal class FairOrderTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the other kind gets its share of the time`(case: OrderCase) {
        val order = case.order
        var ticket = 0L
        fun statement(name: String, of: Int) =
            PendingConnectionRequest(++ticket, ConnectionRequest(group, OrganisationId(name), ConnectionRequirement.Primary, of), 0, 0)
        fun costOf(statement: PendingConnectionRequest) =
            if (statement.request.organisation?.value == "other") case.costs.second else case.costs.first
        var waiting = List(case.waiting) { statement("many", case.priorities.first) } + statement("other", case.priorities.second)
        var progress = ServiceProgress()
        val used = mutableMapOf<String?, Double>()
        repeat(3_000) {
            val next = order.tiers(waiting, progress, ::costOf).filter { it.mayOpen }.flatMap { it.statements }.first()
            used.merge(next.request.organisation?.value, costOf(next), Double::plus)
            progress = order.afterService(progress, next, waiting - next, costOf(next))
            waiting = waiting - next + statement(checkNotNull(next.request.organisation).value, next.request.priority)
        }
        val share = (used["other"] ?: 0.0) / used.values.sum()
        assertTrue(share in case.share, "share $share")
    }

    private companion object {
        private val group = GroupId("g")
        private val ninth = 0.10..0.15
        private val half = 0.45..0.55

        @JvmStatic
        fun cases(): List<OrderCase> = listOf(
            OrderCase(PriorityOrder, waiting = 1, 0 to 2, 20.0 to 20.0, 0.0..0.0),
            OrderCase(FairOrder, waiting = 1, 0 to 2, 20.0 to 20.0, ninth),
            OrderCase(FairOrder, waiting = 1, 0 to 2, 150.0 to 20.0, ninth),
            OrderCase(FairOrder, waiting = 1, 0 to 2, 10.0 to 60.0, ninth),
            OrderCase(PriorityOrder, waiting = 9, 1 to 1, 20.0 to 20.0, 0.0..0.2),
            OrderCase(FairOrder, waiting = 9, 1 to 1, 20.0 to 20.0, half),
            OrderCase(FairOrder, waiting = 9, 1 to 1, 20.0 to 60.0, half),
        )
    }
}
