package org.buckthornhub.quota

/**
 * Times at which refused callers are told to return: the first one, and the others every [spacingMillis] after it.
 *
 * @property lastMillis last time that has been announced, from which the next announcement goes on
 */
public data class AnnouncedReturns(
    val firstMillis: Long,
    val spacingMillis: Long,
    val lastMillis: Long,
)
