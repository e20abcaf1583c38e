package org.buckthornhub.replication

/** A disk that survives crashes, may keep only a part of what was being written, and can be lost. */
internal class FakeDisk(val member: Member) {
    private var records: List<DurableRecord> = emptyList()

    fun write(effect: ReplicationEffect) {
        if (effect is ReplicationEffect.Persist) records = records + effect.records
        if (effect is ReplicationEffect.Rewrite) records = effect.records
    }

    /** A crash in the middle of [effect]: some records made it, but a replacement is all or nothing. */
    fun tear(effect: ReplicationEffect, keptRecords: Int) {
        if (effect is ReplicationEffect.Persist) records = records + effect.records.take(keptRecords)
    }

    fun load(): DurableState = DurableRecords.replay(records)
}
