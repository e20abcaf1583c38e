package org.buckthornhub.settings

import org.buckthornhub.control.ControlSettings
import org.buckthornhub.fleet.VmId
import org.buckthornhub.fleet.ZoneId
import org.buckthornhub.limit.LimitTiming
import org.buckthornhub.observe.ObserveOptions
import org.buckthornhub.session.SessionPolicy
import org.buckthornhub.shutdown.ShutdownTiming
import org.buckthornhub.target.owner.OwnerLimits

/** Validated settings of one daemon; see docs/OPERATIONS.md for the TOML keys. */
public data class Settings(
    val vm: VmId,
    val zone: ZoneId,
    val host: String,
    val port: Int,
    val fleetSecret: String,
    val initialConfiguration: String?,
    val defaultDeadlineMillis: Long,
    val maxBodyBytes: Long,
    val logFormat: LogFormat,
    val owner: OwnerLimits = OwnerLimits(),
    val sessions: SessionPolicy = SessionPolicy(),
    val fleetSeeds: List<String> = emptyList(),
    val control: ControlSettings = ControlSettings(),
    val limits: LimitTiming = LimitTiming(),
    val shutdown: ShutdownTiming = ShutdownTiming(),
    val observe: ObserveOptions = ObserveOptions(),
)
