package org.buckthornhub.connection

import org.buckthornhub.quota.LimitTolerance

/**
 * Settings of sessions.
 *
 * @property keyFreshMillis age of the proof that no key was taken away, from which a request is refused
 * @property freshWaitMillis how long a request waits for a newer proof
 */
public data class SessionSettings(
    val keyFreshMillis: Long = 4_500,
    val freshWaitMillis: Long = 150,
    val tolerance: LimitTolerance = LimitTolerance(),
)
