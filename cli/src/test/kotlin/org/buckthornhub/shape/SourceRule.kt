package org.buckthornhub.shape

/** One rule of the shape that the linter can't express: [pattern] may stand only in paths that [isAllowedIn] names. */
internal data class SourceRule(
    val name: String,
    val pattern: Regex,
    val isAllowedIn: (String) -> Boolean = { false },
)
