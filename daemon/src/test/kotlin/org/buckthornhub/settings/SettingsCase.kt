package org.buckthornhub.settings

/**
 * A settings file and the expected errors, each as `key: found`.
 *
 * @property without keys that are removed from the complete file
 */
internal data class SettingsCase(
    val name: String,
    val lines: String,
    val errors: List<String>,
    val without: Set<String> = emptySet(),
) {
    override fun toString(): String = name

    fun toml(): String = complete.filterKeys { it !in without }.values.joinToString("\n") + "\n" + lines

    private companion object {
        val complete =
            mapOf(
                "vm" to "vm = \"vm1\"",
                "zone" to "zone = \"ikeja\"",
                "fleet.secret" to "fleet.secret = \"0123456789abcdef\"",
                "listen.port" to "listen.port = 24001",
            )
    }
}
