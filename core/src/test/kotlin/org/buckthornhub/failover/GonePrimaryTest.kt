package org.buckthornhub.failover

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Position
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import kotlin.test.Test
import kotlin.test.assertEquals

/** A group that stays without a primary, as the record of an earlier one that is gone for good still claims to lead. */
internal class GonePrimaryTest {
    private val decider = FailoverDecider()
    private var state = FailoverState()
    private var promoted = emptyList<String>()

    @Test
    fun `a second primary is replaced while the record of the first one remains`() {
        for (now in 0L..10_000L step 100) {
            val hasSecond = promoted.isNotEmpty()
            val second = if (hasSecond) TargetRole.PRIMARY else TargetRole.REPLICA
            // Daemons report the primary that they use.
            val unreachable = if (hasSecond) "second" else "first"
            val records = listOf(record("first", TargetRole.PRIMARY), record("second", second), record("third", TargetRole.REPLICA))
            handle(FailoverMessage.Review(records, setOf(TargetId(unreachable)), listeningSinceMillis = 0), now)
        }
        assertEquals(listOf("second", "third"), promoted)
    }

    private fun handle(message: FailoverMessage, nowMillis: Long) {
        val decision = decider.decide(state, message, nowMillis)
        state = decision.state
        for (effect in decision.effects) {
            if (effect is FailoverEffect.Survey) handle(FailoverMessage.Surveyed(group, effect.target, status(effect.target)), nowMillis)
            if (effect is FailoverEffect.Promote) {
                promoted = promoted + effect.target.value
                handle(FailoverMessage.PromotionAttempted(group, effect.target, PromotionOutcome.DONE), nowMillis)
            }
        }
    }

    private companion object {
        val group = GroupId("g")

        fun status(target: TargetId) =
            InstanceStatus(TargetRole.REPLICA, Position(Term(1), LogPosition(if (target.value == "second") 7 else 5)))

        fun record(name: String, role: TargetRole) =
            InstanceRecord(TargetId(name), group, "10.0.0.1:1", ZoneId("a"), role, isLeaving = false, startedWallMillis = 1, sequence = 1)
    }
}
