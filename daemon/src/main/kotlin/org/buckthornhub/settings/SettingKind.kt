package org.buckthornhub.settings

/** What values a setting takes. */
public sealed interface SettingKind {
    /** What an operator may write. */
    public val allowed: String

    /** The value if [found] is of this kind, else null. */
    public fun accept(found: Any?): Any?

    /** Text that is not empty. */
    public data object Text : SettingKind {
        override val allowed: String get() = "text"

        override fun accept(found: Any?): Any? = (found as? String)?.takeIf { it.isNotBlank() }
    }

    /** A whole number in [range]. */
    public data class Whole(val range: LongRange) : SettingKind {
        override val allowed: String get() = "a whole number from ${range.first} to ${range.last}"

        override fun accept(found: Any?): Any? = (found as? Long)?.takeIf { it in range }
    }

    /** One of [words]. */
    public data class Choice(val words: List<String>) : SettingKind {
        override val allowed: String get() = words.joinToString(" or ")

        override fun accept(found: Any?): Any? = (found as? String)?.takeIf { it in words }
    }

    /** A list of texts, which may be empty. */
    public data object Texts : SettingKind {
        override val allowed: String get() = "a list of texts"

        override fun accept(found: Any?): Any? = (found as? List<*>)?.takeIf { list -> list.all { it is String } }
    }
}
