package org.buckthornhub.control

import org.buckthornhub.fleet.VmId
import org.buckthornhub.settings.SettingFault

/**
 * Settings of the control quorum, and of a daemon that has lost contact with it.
 *
 * @property members address of each control VM; empty for a daemon without a control quorum
 * @property refuseKeysAfterMillis age of the configuration from which keys are refused; null to serve keys at any age
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

        /** Parses `vm=host:port`; returns null if [text] has another form. */
        fun memberOf(text: String): Pair<VmId, String>? =
            MEMBER.matchEntire(text)?.destructured?.let { (vm, address) -> VmId(vm) to address }

        /** Returns an error for each entry of [members] that is not of the form `vm=host:port`. */
        fun faultsOf(members: List<String>): List<SettingFault> = members
            .filter { memberOf(it) == null }
            .map { SettingFault("control.members", it, "texts of the form vm=host:port") }
    }
}
