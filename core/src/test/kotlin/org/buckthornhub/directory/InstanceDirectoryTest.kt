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
    fun `the newest life of an id and of an address counts`(case: DirectoryCase) {
        val directory = case.announced.fold(InstanceDirectory()) { directory, record -> directory.with(record) }
        assertEquals(case.expected.toSet(), directory.records.values.toSet())
    }

    @Test
    fun `a late announcement does not bring back an instance that said goodbye`() {
        val gone = InstanceDirectory().with(first).without(first.target)
        assertEquals(emptySet(), gone.with(first.copy(sequence = 9)).records.keys)
        assertEquals(setOf(first.target), gone.with(first.copy(bornMillis = 11)).records.keys)
    }

    @Test
    fun `a goodbye that another daemon heard holds here too`() {
        val merged = InstanceDirectory().with(first).merged(emptyList(), mapOf(first.target to first.bornMillis))
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
            bornMillis = 10,
            sequence = 5,
        )
        private val later = first.copy(sequence = 6, role = TargetRole.PRIMARY)
        private val reborn = first.copy(bornMillis = 20, sequence = 1)
        private val successor = first.copy(target = TargetId("i-2"), bornMillis = 30, sequence = 1)

        @JvmStatic
        fun cases(): List<DirectoryCase> = listOf(
            DirectoryCase("one", listOf(first), listOf(first)),
            DirectoryCase("a later announcement", listOf(first, later), listOf(later)),
            DirectoryCase("a late one", listOf(later, first), listOf(later)),
            DirectoryCase("another life with counts anew", listOf(later, reborn), listOf(reborn)),
            DirectoryCase("an announcement of the life before", listOf(reborn, later), listOf(reborn)),
            DirectoryCase("another id at the address", listOf(later, successor), listOf(successor)),
            DirectoryCase("the id before at the address", listOf(successor, later), listOf(successor)),
        )
    }
}
