package org.buckthornhub.evacuation

import org.buckthornhub.directory.InstanceRecord
import org.buckthornhub.target.TargetId
import org.buckthornhub.target.TargetRole

/** Decides how a daemon uses the instances of zones that are evacuated. */
internal class EvacuatedRecords(private val evacuations: ZoneEvacuations) {
    /**
     * Returns [records] with the instances of evacuated zones as leaving.
     *
     * A primary there keeps its role until its zone is drained or another instance leads, so that a replacement interrupts no writes.
     */
    fun of(records: Collection<InstanceRecord>): List<InstanceRecord> {
        val ledElsewhere = records.filter {
            it.role == TargetRole.PRIMARY && stageOf(it) == EvacuationStage.SERVING
        }.map { it.group }.toSet()
        return records.map {
            val stage = stageOf(it)
            when {
                stage == EvacuationStage.SERVING -> it
                stage == EvacuationStage.LEAVING && it.group !in ledElsewhere -> it.copy(isLeaving = true)
                else -> it.copy(isLeaving = true, role = TargetRole.REPLICA)
            }
        }
    }

    /** Returns the instances of [records] that reads must not be sent to. */
    fun unreadable(records: Collection<InstanceRecord>): Set<TargetId> =
        records.filter { stageOf(it) != EvacuationStage.SERVING }.map { it.target }.toSet()

    /** Returns whether no instance of [records], those of one group, may begin any work because of evacuations. */
    fun areAllDrained(records: Collection<InstanceRecord>): Boolean = records.isNotEmpty() &&
        records.all {
            val stage = stageOf(it)
            stage >= EvacuationStage.DRAINED || stage == EvacuationStage.LEAVING && it.role == TargetRole.REPLICA
        }

    private fun stageOf(record: InstanceRecord) = evacuations.stageOf(record.zone)
}
