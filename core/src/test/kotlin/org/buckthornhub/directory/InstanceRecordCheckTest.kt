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

        private fun names(): List<RecordCheckCase> = listOf(
            RecordCheckCase("the longest id", isValid = true) { copy(target = TargetId("i".repeat(255))) },
            RecordCheckCase("a longer id", isValid = false) { copy(target = TargetId("i".repeat(256))) },
            RecordCheckCase("an empty id", isValid = false) { copy(target = TargetId("")) },
            RecordCheckCase("an id with a space", isValid = false) { copy(target = TargetId("i 1")) },
            RecordCheckCase("a group with a line feed", isValid = false) { copy(group = GroupId("g\nQUERY - COMMIT")) },
            RecordCheckCase("a group with a NUL", isValid = false) { copy(group = GroupId("g\u0000")) },
            RecordCheckCase("a group with half of a character", isValid = false) { copy(group = GroupId("g\ud800")) },
            RecordCheckCase("a group with other letters", isValid = true) { copy(group = GroupId("gr\u00fc\u00df")) },
            RecordCheckCase("a long zone", isValid = false) { copy(zone = ZoneId("z".repeat(256))) },
            RecordCheckCase("the highest port", isValid = true) { copy(address = "10.0.0.1:65535") },
            RecordCheckCase("a port out of range", isValid = false) { copy(address = "10.0.0.1:65536") },
            RecordCheckCase("port 0", isValid = false) { copy(address = "10.0.0.1:0") },
            RecordCheckCase("a negative port", isValid = false) { copy(address = "10.0.0.1:-1") },
            RecordCheckCase("a port too large for a number", isValid = false) { copy(address = "10.0.0.1:99999999999") },
            RecordCheckCase("no port", isValid = false) { copy(address = "10.0.0.1") },
            RecordCheckCase("no host", isValid = false) { copy(address = ":8080") },
            RecordCheckCase("an address with a control character", isValid = false) { copy(address = "10.0.0.1\r:8080") },
        )

        @JvmStatic
        fun cases(): List<RecordCheckCase> = names() + listOf(
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
