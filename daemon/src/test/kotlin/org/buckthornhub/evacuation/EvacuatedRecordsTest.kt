package org.buckthornhub.evacuation

import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.group.GroupId
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.test.assertEquals

/** Use of instances in evacuated zones: reads or transactions begun there, and writes refused while they could run. */
internal class EvacuatedRecordsTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `instances of evacuated zones are leaving, and their primaries are used until another leads or the zone is drained`(
        case: EvacuatedRecordsCase,
    ) {
        val evacuations = object : ZoneEvacuations {
            override fun stageOf(zone: ZoneId) = case.stages[zone.value] ?: EvacuationStage.SERVING

            override fun watch(scope: CoroutineScope, zone: ZoneId, stage: EvacuationStage) = null
        }
        val records = case.instances.map { record(it) }
        val used = EvacuatedRecords(evacuations).of(records).map {
            "${it.zone} ${it.role.name.lowercase()}".let { text -> if (it.isLeaving) "($text)" else text }
        }
        assertEquals(case.used, used)
        assertEquals(case.areAllDrained, EvacuatedRecords(evacuations).areAllDrained(records))
    }

    @ParameterizedTest
    @CsvSource(
        "5000, -10, LEAVING",
        "5000, 0, LEAVING",
        "5000, 2499, LEAVING",
        "5000, 2500, DRAINED",
        "5000, 3999, DRAINED",
        "5000, 4000, ENDING",
        "5000, 4499, ENDING",
        "5000, 4500, CLOSED",
        "5000, 9000000, CLOSED",
        "1000, 499, LEAVING",
        "1000, 900, CLOSED",
    )
    fun `every stage begins before the bound`(boundMillis: Long, ageMillis: Long, stage: EvacuationStage) {
        assertEquals(stage, EvacuationSchedule(boundMillis).stageAt(ageMillis))
    }

    private companion object {
        private fun record(text: String): InstanceRecord {
            val (name, role) = text.split(' ')
            return InstanceRecord(
                TargetId(name),
                GroupId("g"),
                "10.0.0.1:1",
                ZoneId(name),
                TargetRole.valueOf(role.uppercase()),
                isLeaving = false,
                startedWallMillis = 1,
                sequence = 1,
            )
        }

        private val group = listOf("a primary", "b replica")
        private val leaving = EvacuationStage.LEAVING
        private val drained = EvacuationStage.DRAINED

        @JvmStatic
        fun cases(): List<EvacuatedRecordsCase> = listOf(
            EvacuatedRecordsCase("no evacuation", group, emptyMap(), group),
            EvacuatedRecordsCase("a replica's zone", group, mapOf("b" to leaving), listOf("a primary", "(b replica)")),
            EvacuatedRecordsCase("the primary's zone", group, mapOf("a" to leaving), listOf("(a primary)", "b replica")),
            EvacuatedRecordsCase("the primary's zone, drained", group, mapOf("a" to drained), listOf("(a replica)", "b replica")),
            EvacuatedRecordsCase(
                "another instance leads, and the old primary has not noticed",
                listOf("a primary", "b primary"),
                mapOf("a" to leaving),
                listOf("(a replica)", "b primary"),
            ),
            EvacuatedRecordsCase(
                "all zones, with a primary that is still used",
                group,
                mapOf("a" to leaving, "b" to leaving),
                listOf("(a primary)", "(b replica)"),
            ),
            EvacuatedRecordsCase(
                "all zones, drained",
                group,
                mapOf("a" to drained, "b" to EvacuationStage.CLOSED),
                listOf("(a replica)", "(b replica)"),
                areAllDrained = true,
            ),
            EvacuatedRecordsCase(
                "all zones of a group without a primary",
                listOf("b replica"),
                mapOf("b" to leaving),
                listOf("(b replica)"),
                areAllDrained = true,
            ),
        )
    }
}
