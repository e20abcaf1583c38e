package org.buckthornhub.settings

/** Faults that lie in the value of one setting beyond its kind, or between several settings. */
internal object CrossChecks {
    private val secrets = listOf("fleet.secret", "operator.secret")

    fun faultsOf(found: Map<String, Any?>): List<SettingFault> =
        shortSecrets(found) + equalSecrets(found) + longWait(found) + doubledSeeds(found)

    // The value of a secret is never shown.
    private fun shortSecrets(found: Map<String, Any?>): List<SettingFault> = secrets.mapNotNull { key ->
        val length = (found[key] as? String)?.length ?: return@mapNotNull null
        val least = SettingDefinitions.MIN_SECRET_LENGTH
        if (length < least) SettingFault(key, "$length characters", "at least $least characters") else null
    }

    private fun equalSecrets(found: Map<String, Any?>): List<SettingFault> {
        val operator = found["operator.secret"] as? String ?: return emptyList()
        if (operator != found["fleet.secret"]) return emptyList()
        return listOf(SettingFault("operator.secret", "the same text as fleet.secret", "a secret of its own"))
    }

    private fun longWait(found: Map<String, Any?>): List<SettingFault> {
        val lease = found["limit.lease_ms"] as? Long ?: return emptyList()
        val batch = found["limit.batch_ms"] as? Long ?: return emptyList()
        if (batch * 2 <= lease) return emptyList()
        return listOf(SettingFault("limit.batch_ms", "$batch", "at most half of limit.lease_ms, which is $lease"))
    }

    private fun doubledSeeds(found: Map<String, Any?>): List<SettingFault> {
        val seeds = (found["fleet.seeds"] as? List<*>).orEmpty()
        val doubled = seeds.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
        return doubled.map { SettingFault("fleet.seeds", "$it more than once", "each address once") }
    }
}
