package org.buckthornhub.routetable.review

/** What a [Finding] means for the table: it would be refused, it is accepted but part of it has no effect, or it changes what applies. */
public enum class Severity { ERROR, WARNING, CHANGE }
