package org.buckthornhub.fleet

import org.buckthornhub.group.GroupId
import org.buckthornhub.group.LogPosition
import org.buckthornhub.group.Term
import org.buckthornhub.target.TargetEntry
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** A target never counts as announced in the future, where no later announcement could replace it. */
internal class TargetAgeTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a target counts as announced by its age`(case: TargetAgeCase) {
        val entry = TargetEntry(
            TargetId("t"),
            GroupId("g"),
            ZoneId("z"),
            "127.0.0.1:1",
            TargetRole.REPLICA,
            Term.NONE,
            LogPosition.START,
            LogPosition.START,
            slots = 1,
        )
        val state = FleetState(DaemonEntry(VmId("vm"), ZoneId("z"), "127.0.0.1:2", incarnation = 1))
        val next = TargetMerge.mergeAll(state, listOf(TargetUpdate(entry, case.ageMillis)), nowMillis = 10_000, dropMillis = 5_000)
        assertEquals(case.announcedMillis, next.view.targets[TargetId("t")]?.announcedMillis)
    }

    private companion object {
        @JvmStatic
        fun cases(): List<TargetAgeCase> = listOf(
            TargetAgeCase("just announced", ageMillis = 0, announcedMillis = 10_000),
            TargetAgeCase("announced earlier", ageMillis = 4_999, announcedMillis = 5_001),
            TargetAgeCase("too old", ageMillis = 5_000, announcedMillis = null),
            TargetAgeCase("announced in the future", ageMillis = -17_366_834, announcedMillis = null),
        )
    }
}
