package org.buckthornhub.replication

/** A disk that survives crashes, can be lost, and may keep only a part of a write that was in progress during a crash. */
internal class FakeDisk(val member: Member) {
    private var records: List<DurableRecord> = emptyList()

    fun write(effect: ReplicationEffect) {
        if (effect is ReplicationEffect.Persist) records = records + effect.records
        if (effect is ReplicationEffect.Rewrite) records = effect.records
    }

    /** Simulates a crash during [effect]: an append may keep some of its records, a replacement is atomic. */
    fun writePartially(effect: ReplicationEffect, keptRecords: Int) {
        if (effect is ReplicationEffect.Persist) records = records + effect.records.take(keptRecords)
    }

    fun load(): DurableState = DurableRecords.replay(records)
}
