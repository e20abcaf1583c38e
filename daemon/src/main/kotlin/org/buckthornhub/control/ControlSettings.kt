package org.buckthornhub.control

import org.buckthornhub.fleet.VmId
import org.buckthornhub.settings.SettingFault

/**
 * Settings of the control quorum and of what a daemon does without it.
 *
 * @property members address of each control VM; empty for a daemon that stands alone
 * @property refuseKeysAfterMillis age of the configuration from which keys are refused; null serves on
 */
public data class ControlSettings(
    val members: Map<VmId, String> = emptyMap(),
    val dataFolder: String? = null,
    val heartbeatMillis: Long = 100,
    val electionMillis: Long = 400,
    val operatorSecret: String? = null,
    val refuseKeysAfterMillis: Long? = null,
) {
    internal companion object {
        private val MEMBER = Regex("([^=\\s]+)=([^=\\s]+:\\d+)")

        /** Reads `vm=host:port`, or answers null. */
        fun memberOf(text: String): Pair<VmId, String>? =
            MEMBER.matchEntire(text)?.destructured?.let { (vm, address) -> VmId(vm) to address }

        /** Faults that a single value does not show. */
        fun faultsOf(members: List<String>): List<SettingFault> = members
            .filter { memberOf(it) == null }
            .map { SettingFault("control.members", it, "texts of the form vm=host:port") }
    }
}
