package org.buckthornhub.settings

/** Reads values that were validated against [SettingDefinitions]; missing keys get their defaults. */
internal class ValueReader(private val found: Map<String, Any?>) {
    private val definitions = SettingDefinitions.ALL.associateBy { it.key }

    fun text(key: String): String = valueOf(key) as String

    fun textOrNull(key: String): String? = valueOf(key) as String?

    fun whole(key: String): Long = valueOf(key) as Long

    fun texts(key: String): List<String> = (valueOf(key) as List<*>).map { it as String }

    private fun valueOf(key: String): Any? = found[key] ?: definitions.getValue(key).default
}
