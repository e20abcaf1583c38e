package org.buckthornhub.evacuation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import org.buckthornhub.fleet.ZoneId

/** Evacuations of availability zones, as in force at this daemon. */
internal interface ZoneEvacuations {
    fun stageOf(zone: ZoneId): EvacuationStage

    /** Returns a job that completes once [stage] is reached in [zone]; null if zones are never evacuated. */
    fun watch(scope: CoroutineScope, zone: ZoneId, stage: EvacuationStage): Job?

    companion object {
        /** For deployments without evacuations. */
        val NONE: ZoneEvacuations = object : ZoneEvacuations {
            override fun stageOf(zone: ZoneId) = EvacuationStage.SERVING

            override fun watch(scope: CoroutineScope, zone: ZoneId, stage: EvacuationStage): Job? = null
        }
    }
}
