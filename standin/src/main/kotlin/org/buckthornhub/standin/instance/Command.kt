package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.target.wire.TargetFault

/** Statement supported by the stand-in; its words are separated by one space. */
public sealed interface Command {
    /** The key that is read or written. */
    public val key: String

    /** The statement in the syntax accepted by [parse]. */
    public val text: String

    /** `get KEY`: returns the value, or none if the key does not exist. */
    public data class Get(override val key: String) : Command {
        override val text: String get() = "get $key"
    }

    /** `put KEY VALUE`: sets the value. */
    public data class Put(
        override val key: String,
        val value: String,
    ) : Command {
        override val text: String get() = "put $key $value"
    }

    /** `insert KEY VALUE`: sets the value; rejected if the key exists. */
    public data class Insert(
        override val key: String,
        val value: String,
    ) : Command {
        override val text: String get() = "insert $key $value"
    }

    /** `append KEY VALUE`: appends the value to a comma-separated list. */
    public data class Append(
        override val key: String,
        val value: String,
    ) : Command {
        override val text: String get() = "append $key $value"
    }

    public companion object {
        private const val MAX_WORDS = 3

        /** Parses [text]; returns [TargetFault.Code.STATEMENT_INVALID] if it is not a valid statement. */
        public fun parse(text: String): Result<Command, TargetFault> {
            val words = text.split(' ', limit = MAX_WORDS)
            val key = words.getOrNull(1) ?: return invalid(text)
            val value = words.getOrNull(2)
            return when (words[0]) {
                "get" -> if (value == null) Ok(Get(key)) else invalid(text)
                "put" -> if (value != null) Ok(Put(key, value)) else invalid(text)
                "insert" -> if (value != null) Ok(Insert(key, value)) else invalid(text)
                "append" -> if (value != null) Ok(Append(key, value)) else invalid(text)
                else -> invalid(text)
            }
        }

        private fun invalid(text: String) = Err(
            TargetFault(
                TargetFault.Code.STATEMENT_INVALID,
                "not one of get KEY, put KEY VALUE, insert KEY VALUE, append KEY VALUE: $text",
            ),
        )
    }
}
