package org.buckthornhub.settings

/** Type and range of the values of a setting. */
public sealed interface SettingKind {
    /** Description of the valid values, for error messages and the reference. */
    public val allowed: String

    /** Returns the value if [found] is valid for this setting, else null. */
    public fun accept(found: Any?): Any?

    /** Text that is not blank. */
    public data object Text : SettingKind {
        override val allowed: String get() = "text"

        override fun accept(found: Any?): Any? = (found as? String)?.takeIf { it.isNotBlank() }
    }

    /** An integer in [range]. */
    public data class Whole(val range: LongRange) : SettingKind {
        override val allowed: String get() = "a whole number from ${range.first} to ${range.last}"

        override fun accept(found: Any?): Any? = (found as? Long)?.takeIf { it in range }
    }

    /** One of [options]. */
    public data class Choice(val options: List<String>) : SettingKind {
        override val allowed: String get() = options.joinToString(" or ")

        override fun accept(found: Any?): Any? = (found as? String)?.takeIf { it in options }
    }

    /** A possibly empty list of texts. */
    public data object Texts : SettingKind {
        override val allowed: String get() = "a list of texts"

        override fun accept(found: Any?): Any? = (found as? List<*>)?.takeIf { list -> list.all { it is String } }
    }
}
