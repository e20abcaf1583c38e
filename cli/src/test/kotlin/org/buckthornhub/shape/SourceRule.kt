package org.buckthornhub.shape

/** A structural rule that the linter can't express: [pattern] may match only in files whose path [isAllowedIn] accepts. */
internal data class SourceRule(
    val name: String,
    val pattern: Regex,
    val isAllowedIn: (String) -> Boolean = { false },
)
