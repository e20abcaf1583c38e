package org.buckthornhub.directory

import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.Test
import kotlin.test.assertEquals

internal class InstanceDirectoryTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `the newest incarnation of an id and the newest instance at an address are kept`(case: DirectoryCase) {
        val directory = case.announced.fold(InstanceDirectory()) { directory, record -> directory.with(record) }
        assertEquals(case.expected.toSet(), directory.records.values.toSet())
    }

    @Test
    fun `a late announcement does not restore an instance that has left`() {
        val removed = InstanceDirectory().with(first).without(first.target)
        assertEquals(emptySet(), removed.with(first.copy(sequence = 9)).records.keys)
        assertEquals(setOf(first.target), removed.with(first.copy(startedWallMillis = 11)).records.keys)
    }

    @Test
    fun `an end that another daemon received removes the instance after a merge`() {
        val merged = InstanceDirectory().with(first).merged(emptyList(), mapOf(first.target to first.startedWallMillis))
        assertEquals(emptySet(), merged.records.keys)
    }

    private companion object {
        private val first = InstanceRecord(
            target = TargetId("i-1"),
            group = GroupId("g"),
            address = "10.0.0.1:1",
            zone = ZoneId("a"),
            role = TargetRole.REPLICA,
            isLeaving = false,
            startedWallMillis = 10,
            sequence = 5,
        )
        private val later = first.copy(sequence = 6, role = TargetRole.PRIMARY)
        private val restarted = first.copy(startedWallMillis = 20, sequence = 1)
        private val successor = first.copy(target = TargetId("i-2"), startedWallMillis = 30, sequence = 1)

        @JvmStatic
        fun cases(): List<DirectoryCase> = listOf(
            DirectoryCase("one announcement", listOf(first), listOf(first)),
            DirectoryCase("a later announcement", listOf(first, later), listOf(later)),
            DirectoryCase("an announcement that arrives late", listOf(later, first), listOf(later)),
            DirectoryCase("a restart with a new sequence", listOf(later, restarted), listOf(restarted)),
            DirectoryCase("a late announcement of the previous incarnation", listOf(restarted, later), listOf(restarted)),
            DirectoryCase("a new id at the same address", listOf(later, successor), listOf(successor)),
            DirectoryCase("a late announcement of the previous id at the address", listOf(successor, later), listOf(successor)),
        )
    }
}
