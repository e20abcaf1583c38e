package org.buckthornhub.standin.instance

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.buckthornhub.target.wire.TargetFault

/** The closed list of statements that the stand-in understands; words are separated by one space. */
public sealed interface Command {
    /** The key it concerns. */
    public val key: String

    /** The statement as a caller writes it. */
    public val text: String

    /** `get KEY`: the value, or nothing. */
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

    /** `insert KEY VALUE`: sets the value, and is rejected if the key exists. */
    public data class Insert(
        override val key: String,
        val value: String,
    ) : Command {
        override val text: String get() = "insert $key $value"
    }

    /** `append KEY VALUE`: adds the value to a comma-separated list. */
    public data class Append(
        override val key: String,
        val value: String,
    ) : Command {
        override val text: String get() = "append $key $value"
    }

    public companion object {
        private const val MAX_WORDS = 3

        /** Reads [text]; a fault names what is wrong with it. */
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
