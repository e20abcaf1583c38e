package org.buckthornhub.settings

/** Checks that go beyond the type of one setting: lengths, duplicates, and constraints between settings. */
internal object CrossChecks {
    private val secrets = listOf("fleet.secret", "operator.secret")

    fun errorsIn(found: Map<String, Any?>): List<SettingFault> =
        shortSecrets(found) + equalSecrets(found) + longBatch(found) + duplicateSeeds(found)

    // The error names the length only, because a secret must not appear in output or logs.
    private fun shortSecrets(found: Map<String, Any?>): List<SettingFault> = secrets.mapNotNull { key ->
        val length = (found[key] as? String)?.length ?: return@mapNotNull null
        val minLength = SettingDefinitions.MIN_SECRET_LENGTH
        if (length < minLength) SettingFault(key, "$length characters", "at least $minLength characters") else null
    }

    private fun equalSecrets(found: Map<String, Any?>): List<SettingFault> {
        val operator = found["operator.secret"] as? String ?: return emptyList()
        if (operator != found["fleet.secret"]) return emptyList()
        return listOf(SettingFault("operator.secret", "the same text as fleet.secret", "a secret of its own"))
    }

    private fun longBatch(found: Map<String, Any?>): List<SettingFault> {
        val lease = found["limit.lease_ms"] as? Long ?: return emptyList()
        val batch = found["limit.batch_ms"] as? Long ?: return emptyList()
        if (batch * 2 <= lease) return emptyList()
        return listOf(SettingFault("limit.batch_ms", "$batch", "at most half of limit.lease_ms, which is $lease"))
    }

    private fun duplicateSeeds(found: Map<String, Any?>): List<SettingFault> {
        val seeds = (found["fleet.seeds"] as? List<*>).orEmpty()
        val duplicates = seeds.groupingBy { it }.eachCount().filterValues { it > 1 }.keys
        return duplicates.map { SettingFault("fleet.seeds", "$it more than once", "each address once") }
    }
}
