package org.buckthornhub.directory

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

internal class InstanceRecordCheckTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `a record that no running instance can have announced is invalid`(case: RecordCheckCase) {
        assertEquals(case.isValid, InstanceRecordCheck.errorIn(case.change(valid), NOW_WALL_MILLIS) == null)
    }

    private companion object {
        private const val NOW_WALL_MILLIS = 1_790_000_000_000
        private const val HOUR_MILLIS = 3_600_000L
        private val valid = InstanceRecord(
            target = TargetId("i-1"),
            group = GroupId("g"),
            address = "10.0.0.1:8080",
            zone = ZoneId("a"),
            role = TargetRole.REPLICA,
            isLeaving = false,
            startedWallMillis = NOW_WALL_MILLIS - HOUR_MILLIS,
            sequence = 5,
        )

        private fun started(name: String, millis: Long, isValid: Boolean) =
            RecordCheckCase(name, isValid) { copy(startedWallMillis = millis) }

        private fun sequence(name: String, number: Long, isValid: Boolean) = RecordCheckCase(name, isValid) { copy(sequence = number) }

        @JvmStatic
        fun cases(): List<RecordCheckCase> = listOf(
            started("started an hour ago", NOW_WALL_MILLIS - HOUR_MILLIS, isValid = true),
            started("start time not known", 0, isValid = true),
            started("started now", NOW_WALL_MILLIS, isValid = true),
            started("started on a VM whose clock was stepped ahead by seconds", NOW_WALL_MILLIS + 30_000, isValid = true),
            started("starts in an hour", NOW_WALL_MILLIS + HOUR_MILLIS, isValid = false),
            started("start time in microseconds", NOW_WALL_MILLIS * 1_000, isValid = false),
            started("largest start time", Long.MAX_VALUE, isValid = false),
            started("negative start time", -1, isValid = false),
            started("smallest start time", Long.MIN_VALUE, isValid = false),
            sequence("first announcement", 0, isValid = true),
            sequence("a hundred announcements a second", 360_000, isValid = true),
            sequence("more announcements than fit into 32 bits", 1L shl 32, isValid = false),
            sequence("largest sequence", Long.MAX_VALUE, isValid = false),
            sequence("negative sequence", -1, isValid = false),
            RecordCheckCase("largest sequence, start time not known", isValid = false) {
                copy(startedWallMillis = 0, sequence = Long.MAX_VALUE)
            },
        )
    }
}
